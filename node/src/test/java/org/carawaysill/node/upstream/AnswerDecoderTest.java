package org.carawaysill.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** In these tables, a bar stands for a line end of carriage return and line feed. */
class AnswerDecoderTest {

    private static final String EMPTY_BODY = "Content-Length: 0||";
    private static final String CHUNKS = "Transfer-Encoding: chunked||";

    private final EmbeddedChannel channel = new EmbeddedChannel(new AnswerDecoder(new HttpDecoderConfig()));

    private boolean isRejected(String bytes) {
        write(bytes);
        boolean failed = false;
        for (HttpObject message = channel.readInbound(); message != null; message = channel.readInbound()) {
            failed |= message.decoderResult().isFailure();
            ReferenceCountUtil.release(message);
        }
        return failed;
    }

    private void write(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes.replace("|", "\r\n"), StandardCharsets.ISO_8859_1));
    }

    /** Guards against bytes that are no answer in HTTP/1.1 and are passed on as one. */
    @Nested
    class Rejects {

        private void check(String bytes) {
            assertEquals(true, isRejected(bytes), bytes);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 2 OK|",
                    "HTTP/1.1 20 OK|",
                    "HTTP/1.1 1200 OK|",
                    "HTTP/1.1 0 OK|",
                    "HTTP/1.1 000 OK|",
                    "HTTP/1.1 001 OK|",
                    "HTTP/1.1 00 OK|",
                    "HTTP/1.1 099 OK|",
                    "HTTP/1.1 0200 OK|",
                    "HTTP/1.1 -200 OK|",
                    "HTTP/1.1 +200 OK|",
                    "HTTP/1.1 600 OK|",
                    "HTTP/1.1 700 OK|",
                    "HTTP/1.1 999 OK|",
                    "HTTP/1.1 2OO OK|",
                    "HTTP/1.1 200x OK|",
                    "HTTP/1.1 OK|",
                    "HTTP/1.1|",
                    "HTTP/1.1200 OK|",
                    "HTTP/1.1,200 OK|",
                    "HTTQ/1.1 200 OK|",
                    "http/1.1 200 OK|",
                    "HTTP/2.0 200 OK|",
                    "HTTP/1.2 200 OK|",
                    "HTTP/11 200 OK|",
                    "ICY 200 OK|",
                    " HTTP/1.1 200 OK|",
                    "|HTTP/1.1 200 OK|",
                    "\u0001HTTP/1.1 200 OK|",
                    "HTTP/1.1 200 O\u0000K|",
                    "HTTP/1.1 200 O\rK|"
                })
        void statusLines(String line) {
            check(line + EMPTY_BODY);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Name : a|",
                    "Name\t: a|",
                    "Name a: a|",
                    ": a|",
                    " Name: a|",
                    "N\u0001: a|",
                    "N\u00e9: a|",
                    "no colon|",
                    "Name: a\u0000b|",
                    "Name: a\rb|",
                    "Name: a\u0001b|",
                    "Name: a\u007fb|"
                })
        void fields(String field) {
            check("HTTP/1.1 200 OK|" + field + EMPTY_BODY);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 3|Content-Length: 4||abcd",
                    "Content-Length: 3|Content-Length: 3||abc",
                    "Content-Length: 3,4||abcd",
                    "Content-Length: -1||",
                    "Content-Length: +3||abc",
                    "Content-Length: 0x3||abc",
                    "Content-Length: ||",
                    "Content-Length: 99999999999999999999||",
                    "Content-Length: 3|" + CHUNKS + "3|abc|0||",
                    "Transfer-Encoding: chunked|Content-Length: 3||3|abc|0||",
                    "Transfer-Encoding: gzip, chunked||3|abc|0||",
                    "Transfer-Encoding: chunked, gzip||3|abc|0||",
                    "Transfer-Encoding: chunked|Transfer-Encoding: chunked||3|abc|0||",
                    "Transfer-Encoding: gzip||abc",
                    CHUNKS + "zz|abc|0||",
                    CHUNKS + "+3|abc|0||",
                    CHUNKS + "-3|abc|0||",
                    CHUNKS + "0x3|abc|0||",
                    CHUNKS + "ffffffffff|abc",
                    CHUNKS + "|abc|0||",
                    CHUNKS + "3|abcde|0||",
                    CHUNKS + "3|abcXX0||"
                })
        void framing(String rest) {
            check("HTTP/1.1 200 OK|" + rest);
        }

        @Test
        void lineEndsWithoutCarriageReturn() {
            check("HTTP/1.1 200 OK\nContent-Length: 0\n\n");
        }

        @Test
        void chunksInAVersionThatHasNone() {
            check("HTTP/1.0 200 OK|" + CHUNKS + "3|abc|0||");
        }

        @Test
        void aChangeOfProtocolThatNobodyAskedFor() {
            check("HTTP/1.1 101 Switching Protocols|Connection: upgrade|Upgrade: other||");
        }

        @Test
        void whatFollowsAnInformationalAnswer() {
            check("HTTP/1.1 103 Early Hints||HTTP/1.1 20 OK|" + EMPTY_BODY);
        }
    }

    @Nested
    class Accepts {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK|Content-Length: 3||abc",
                    "HTTP/1.0 200 OK|Content-Length: 3||abc",
                    "HTTP/1.1 599 Odd|Content-Length: 3||abc",
                    "HTTP/1.1 200|Content-Length: 0||",
                    "HTTP/1.1 200 |Content-Length: 0||",
                    "HTTP/1.1 200 OK|Name: \u00e9 \t x|Content-Length: 0||",
                    "HTTP/1.1 200 OK|Name: a| b|Content-Length: 0||",
                    "HTTP/1.1 200 OK|Transfer-Encoding: chunked||3;x=1|abc|0|Trailer: t||",
                    "HTTP/1.1 103 Early Hints|Link: a||HTTP/1.1 100 Continue||HTTP/1.1 200 OK|Content-Length: 0||",
                    "HTTP/1.1 204 No Content||",
                    "HTTP/1.1 200 OK||abc"
                })
        void answers(String bytes) {
            assertEquals(false, isRejected(bytes), bytes);
        }

        /** Guards against taking a head that arrives in parts for one that begins with something else. */
        @Test
        void anAnswerThatArrivesByteByByte() {
            String answer = "HTTP/1.1 103 Early Hints|Link: a||HTTP/1.1 200 OK|Name: a|Content-Length: 3||abc";
            boolean rejected = false;
            for (char each : answer.replace("|", "\r\n").toCharArray()) {
                rejected |= isRejected(String.valueOf(each));
            }
            assertEquals(false, rejected);
        }
    }
}
