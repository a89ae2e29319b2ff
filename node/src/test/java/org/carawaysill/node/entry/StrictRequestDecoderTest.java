package org.carawaysill.node.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StrictRequestDecoderTest {

    private static final int LIMIT = 200;
    private static final String HEAD = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

    private boolean takesRequest = true;
    private final StrictRequestDecoder decoder = new StrictRequestDecoder(
            new HttpDecoderConfig().setMaxInitialLineLength(LIMIT).setMaxHeaderSize(LIMIT), () -> takesRequest);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    private List<HttpObject> decode(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        List<HttpObject> messages = new ArrayList<>();
        for (HttpObject message = channel.readInbound(); message != null; message = channel.readInbound()) {
            messages.add(message);
        }
        return messages;
    }

    @Nested
    class AHead {

        /** Guards against lines that are decoded, and take many times their bytes, before their head is complete. */
        @Test
        void isDecodedOnceItIsComplete() {
            for (int end = 1; end < HEAD.length(); end++) {
                assertEquals(List.of(), decode(HEAD.substring(end - 1, end)));
                assertTrue(decoder.bufferedBytes() >= end);
            }
            List<HttpObject> whole = decode(HEAD.substring(HEAD.length() - 1) + HEAD);
            assertEquals(4, whole.size());
            assertTrue(
                    whole.stream().noneMatch(message -> message.decoderResult().isFailure()));
            assertEquals(0, decoder.bufferedBytes());
        }

        @Test
        void behindEmptyLinesIsDecodedOnceItIsComplete() {
            assertEquals(List.of(), decode("\r\n".repeat(LIMIT) + "GET"));
            assertEquals(2, decode(HEAD.substring("GET".length())).size());
        }

        @Test
        void thatIsTooLargeIsRejectedBeforeItsEnd() {
            assertEquals(List.of(), decode("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(LIMIT / 4)));
            assertTrue(decode("a:\r\n".repeat(LIMIT)).getFirst().decoderResult().isFailure());
        }

        @Test
        void whoseFirstLineIsTooLongIsRejectedBeforeItsEnd() {
            assertTrue(decode("GET /" + "a".repeat(LIMIT))
                    .getFirst()
                    .decoderResult()
                    .isFailure());
        }
    }

    @Nested
    class HeldBack {

        @Test
        void isDecodedOnceTheConnectionTakesIt() {
            takesRequest = false;
            assertEquals(List.of(), decode(HEAD));
            assertTrue(decoder.holdsBack());
            takesRequest = true;
            assertEquals(2, decode("").size());
            assertFalse(decoder.holdsBack());
        }
    }

    @Nested
    class ATrailer {

        /** Guards against fields that are kept although nobody reads them. */
        @Test
        void isNotKept() {
            List<HttpObject> messages =
                    decode("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na: b\r\n\r\n");
            assertTrue(messages.getFirst() instanceof HttpRequest);
            LastHttpContent last = (LastHttpContent) messages.getLast();
            assertFalse(last.decoderResult().isFailure());
            assertTrue(last.trailingHeaders().isEmpty());
        }
    }
}
