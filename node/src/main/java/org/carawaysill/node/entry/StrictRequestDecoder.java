package org.carawaysill.node.entry;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those with ambiguous framing of the body.
 *
 * <p>Netty drops the length if a request states both a length and chunks. Another reader on the path might drop the
 * chunks instead and read a part of the body as the next request. Not thread safe: confined to the event loop.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(HttpDecoderConfig limits) {
        super(limits);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked are set");
    }
}
