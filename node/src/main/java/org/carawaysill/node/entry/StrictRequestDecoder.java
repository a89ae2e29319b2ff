package org.carawaysill.node.entry;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.carawaysill.node.exchange.MessageFraming;

/**
 * Decodes requests and rejects those with a length and chunks.
 *
 * <p>Not thread safe: confined to the event loop.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(HttpDecoderConfig limits) {
        super(limits);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        MessageFraming.rejectLengthWithChunks();
    }
}
