package org.carawaysill.node.entry;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests, and refuses those whose body could be seen to end at two places.
 *
 * <p>The library drops the length where a request states chunks too. Another reader in the path might drop the chunks
 * instead, and take a part of the body for the next request. Confined to the event loop.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(HttpDecoderConfig limits) {
        super(limits);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("a length and chunks");
    }
}
