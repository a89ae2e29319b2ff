package org.carawaysill.standin.upstream;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A call that an operation makes to a deeper service.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the deeper service
 * @param method the HTTP method
 * @param path the path at that service; each segment {@code *} takes the text that the operation's own path matched
 */
record GraphCall(
        @JsonProperty(required = true) String service,
        @JsonProperty(required = true) String method,
        @JsonProperty(required = true) String path) {

    /**
     * Returns the path of one call.
     *
     * @param matched the segments that the wildcards of the operation's own path matched
     * @param otherwise the segment for wildcards that have no counterpart in the operation's path
     * @return the path at the node's egress port
     */
    String egressPath(List<String> matched, String otherwise) {
        String segment = matched.isEmpty() ? otherwise : matched.getFirst();
        return "/services/" + service + path.replace(PathPattern.WILDCARD, segment);
    }
}
