package org.carawaysill.model.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The part of an HTTP request that the upstream copies see.
 *
 * <p>Immutable and thread safe.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the end-to-end headers
 * @param body the whole body
 */
public record RequestContent(String method, String path, List<Header> headers, Body body) {

    public RequestContent {
        headers = HeaderFields.copyOf(headers);
    }

    /**
     * Returns this request with additional header fields.
     *
     * @param added the fields
     * @return the request with the fields added
     */
    public RequestContent withHeaders(List<Header> added) {
        if (added.isEmpty()) {
            return this;
        }
        List<Header> all = new ArrayList<>(headers);
        all.addAll(added);
        return new RequestContent(method, path, all, body);
    }

    /**
     * Returns about how much memory the request takes.
     *
     * @return the size of its parts in bytes
     */
    public long byteCount() {
        return (long) method.length()
                + path.length()
                + HeaderFields.copyOf(headers).byteCount()
                + body.length();
    }

    /**
     * Finds the first header of a name.
     *
     * @param name the field name, in any case
     * @return its value
     */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(Header::value)
                .findFirst();
    }
}
