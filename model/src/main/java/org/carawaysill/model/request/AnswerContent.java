package org.carawaysill.model.request;

import java.util.List;

/**
 * A complete HTTP answer of an upstream copy.
 *
 * <p>Immutable and thread safe.
 *
 * @param status the HTTP status code
 * @param headers the end-to-end headers
 * @param body the whole body
 */
public record AnswerContent(int status, List<Header> headers, Body body) {

    public AnswerContent {
        headers = HeaderFields.copyOf(headers);
    }

    /**
     * Returns about how much memory the answer takes.
     *
     * @return the size of its parts in bytes
     */
    public long byteCount() {
        return (long) HeaderFields.copyOf(headers).byteCount() + body.length();
    }
}
