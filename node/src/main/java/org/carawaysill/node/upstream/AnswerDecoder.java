package org.carawaysill.node.upstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes answers and reports whether undecoded bytes are left.
 *
 * <p>Bytes after an answer that don't form another answer produce no message; they would be decoded as the beginning of
 * the next answer. Not thread safe: confined to the event loop.
 */
final class AnswerDecoder extends HttpResponseDecoder {

    private boolean bodyless;

    AnswerDecoder(HttpDecoderConfig limits) {
        super(limits);
    }

    /** Sets whether the next answer is to a request whose answers never have a body, whatever their header states. */
    void bodyless(boolean nextAnswer) {
        bodyless = nextAnswer;
    }

    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodyless || super.isContentAlwaysEmpty(message);
    }
}
