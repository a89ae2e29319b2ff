package org.carawaysill.node.exchange;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * The rules for where the body of a message ends.
 *
 * <p>Ambiguous framing enables the smuggling of messages: this node and another reader on the path could see the end of
 * the body at different places. Stateless and thread safe.
 */
public final class MessageFraming {

    private static final String CHUNKED = "chunked";

    private MessageFraming() {}

    /**
     * Checks for ambiguous framing: a length combined with chunks, two lengths, a transfer coding other than chunked, or
     * chunks in a version that has none.
     *
     * @param message the message with the header fields that it arrived with
     * @return whether all readers find the end of the body at the same place
     */
    public static boolean isUnambiguous(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = message.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (codings.isEmpty()) {
            return lengths.size() <= 1;
        }
        return lengths.isEmpty()
                && codings.size() == 1
                && codings.getFirst().strip().equalsIgnoreCase(CHUNKED)
                && message.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }

    /**
     * Rejects a message with a length and chunks while it is decoded: Netty drops the length, and another reader might
     * drop the chunks instead.
     *
     * @throws IllegalArgumentException always
     */
    public static void rejectLengthWithChunks() {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked are set");
    }
}
