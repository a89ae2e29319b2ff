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
        headers = List.copyOf(headers);
    }
}
