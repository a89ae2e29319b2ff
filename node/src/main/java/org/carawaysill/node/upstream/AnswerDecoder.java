package org.carawaysill.node.upstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes answers, and tells whether bytes are left over.
 *
 * <p>Bytes behind an answer that are no answer yet give no message: they would be taken for the beginning of the next
 * answer. Confined to the event loop.
 */
final class AnswerDecoder extends HttpResponseDecoder {

    private boolean bodyless;

    AnswerDecoder(HttpDecoderConfig limits) {
        super(limits);
    }

    /** Says whether the next answer is to a request whose answers have no body, whatever they state. */
    void bodyless(boolean nextAnswer) {
        bodyless = nextAnswer;
    }

    boolean hasRest() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodyless || super.isContentAlwaysEmpty(message);
    }
}
