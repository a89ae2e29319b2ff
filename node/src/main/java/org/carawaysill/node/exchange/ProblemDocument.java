package org.carawaysill.node.exchange;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Step;

/**
 * The body of an answer that doesn't come from a copy: a problem document (RFC 9457) with the step, the peer and the
 * reason.
 *
 * <p>Immutable and thread safe.
 *
 * @param status the HTTP status
 * @param outcome the outcome as stated in the header field
 * @param title the outcome in words
 * @param detail what happened, in one line
 * @param step the step in which it happened
 * @param peer the other node that it concerns, if any
 * @param reason the reason, as in the counters
 */
public record ProblemDocument(
        int status, String outcome, String title, String detail, Step step, Optional<NodeName> peer, String reason) {

    /** The body's media type. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:carawaysill:outcome:";

    /**
     * Encodes the document.
     *
     * @return the JSON text
     */
    public Buffer toBuffer() {
        return new JsonObject()
                .put("type", TYPE_PREFIX + outcome)
                .put("title", title)
                .put("status", status)
                .put("detail", detail)
                .put("step", step.name().toLowerCase(Locale.ROOT))
                .put("peer", peer.map(NodeName::value).orElse(null))
                .put("reason", reason)
                .toBuffer();
    }
}
