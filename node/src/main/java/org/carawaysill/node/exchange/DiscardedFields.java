package org.carawaysill.node.exchange;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Header fields that are decoded and not kept.
 *
 * <p>Immutable and thread safe.
 */
public final class DiscardedFields extends EmptyHttpHeaders {

    /** Creates no fields, whatever is decoded. */
    public static final HttpHeadersFactory FACTORY = new HttpHeadersFactory() {

        private final DiscardedFields none = new DiscardedFields();

        @Override
        public HttpHeaders newHeaders() {
            return none;
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return none;
        }
    };

    private DiscardedFields() {}

    @Override
    public HttpHeaders add(String name, Object value) {
        return this;
    }
}
