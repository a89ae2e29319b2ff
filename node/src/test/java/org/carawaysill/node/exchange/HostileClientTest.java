package org.carawaysill.node.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.node.testing.AdapterBench;
import org.carawaysill.node.testing.RawConnection;
import org.carawaysill.policy.event.Event;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(120)
class HostileClientTest extends ExchangeServerTestBase {

    @Nested
    class HostileRequests {

        private static void expectStatus(int status, String answer) {
            assertTrue(answer.matches("(?s)HTTP/1\\.[01] " + status + " .*"), answer);
        }

        /*
         * One client sent invalid requests, and a clerk's concurrent request hung or the node died. Checks that each
         * such request gets a counted refusal, that its connection is closed, and that others are served.
         */
        @ParameterizedTest
        @CsvSource({
            "malformed, 400, NO HTTP AT ALL",
            "malformed, 400, OPTIONS * HTTP/1.1",
            "malformed, 400, 'GET / HTTP/1.1\r\nContent-Length: -5'",
            "malformed, 400, 'POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4'",
            "framing, 400, 'POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked'",
            "ambiguous_header, 400, 'POST / HTTP/1.1\r\nIdempotency-Key: a\r\nIdempotency-Key: b'",
            "body_too_large, 413, 'POST / HTTP/1.1\r\nContent-Length: 5000'",
        })
        void areRefused(String kind, int status, String head) {
            String answer = send(head).readToEnd();
            expectStatus(status, answer);
            assertTrue(answer.toLowerCase(Locale.ROOT).contains("carawaysill-outcome: not-run"), answer);
            assertEquals(1, bench.counted("bad_requests", kind));
            assertEquals(1, bench.counted("refusals", "bad_request"));
            expectOthersUnaffected();
        }

        @Test
        void areRefusedWithTooLongLinesAndHeaders() {
            expectStatus(414, send("GET /" + "x".repeat(9000) + " HTTP/1.1").readToEnd());
            expectStatus(431, send("GET / HTTP/1.1\r\nX: " + "x".repeat(4000)).readToEnd());
            expectOthersUnaffected();
        }

        @Test
        void areRefusedWithABodyThatExceedsTheLimit() {
            RawConnection connection = send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked");
            connection.write("1000\r\n" + "x".repeat(4096) + "\r\n").write("1\r\nx\r\n");
            assertTrue(connection.readHead().startsWith("HTTP/1.1 413 "));
            connection.writeUntilRefused("400\r\n" + "x".repeat(1024) + "\r\n");
            expectOthersUnaffected();
        }

        @Test
        void areClosedWhenTheirChunksAreInvalid() {
            RawConnection connection =
                    send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked").write("zz\r\n");
            connection.readToEnd();
            AdapterBench.await(() -> bench.counted("connections_closed", "broken") >= 1);
            expectOthersUnaffected();
        }

        /*
         * The process ran out of heap: each of many bodies was within its own limit, but all together were not. Checks
         * that a request without budget is refused, and that the budget is released with the answers.
         */
        @Test
        void areRefusedWhenTheirBodiesExceedTheBudgetTogether() {
            String whole = "POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n" + "x".repeat(4000);
            RawConnection first = connect().write(whole);
            ExchangeIdentifier exchange = bench.next(Event.CallerRequest.class).exchange();
            assertTrue(connect().write(whole).readToEnd().startsWith("HTTP/1.1 503 "));
            assertEquals(1, bench.counted("bad_requests", "bodies_fill_memory"));
            answer(exchange, "done");
            first.readMessage();
            first.write(whole);
            bench.next(Event.CallerRequest.class);
        }
    }

    @Nested
    class HostileConnections {

        /*
         * Callers could not connect although the node was idle, because a client held connections and sent nothing, or
         * a byte now and then. Checks that each phase of an exchange has a time limit as a whole, however many bytes
         * arrive.
         */
        @ParameterizedTest
        @ValueSource(strings = {"", "GET / HT", "GET / HTTP/1.1\r\nX-Slow: 1\r\n"})
        void areClosedWhenTheHeaderDoesNotEnd(String begin) {
            server = start(new ConnectionLimits(8, SHORT, LONG, LONG, LONG));
            connect().write(begin).readToEnd();
            assertEquals(1, bench.counted("connections_closed", "slow_header"));
            expectOthersUnaffected();
        }

        @Test
        void areClosedWhenTheBodyDoesNotEnd() {
            server = start(new ConnectionLimits(8, SHORT, LONG, SHORT, LONG));
            connect().write("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf").readToEnd();
            assertEquals(1, bench.counted("connections_closed", "slow_body"));
            expectOthersUnaffected();
        }

        @Test
        void areClosedWhenTheAnswerIsNotRead() {
            server = start(new ConnectionLimits(8, SHORT, LONG, LONG, SHORT));
            RawConnection notReading = send("GET /big HTTP/1.1");
            answer(bench.next(Event.CallerRequest.class).exchange(), "x".repeat(32 * 1024 * 1024));
            AdapterBench.await(() -> bench.counted("connections_closed", "slow_reader") == 1);
            notReading.close();
            expectOthersUnaffected();
        }

        @Test
        void areNotClosedWhileTheAnswerIsAwaited() {
            server = start(new ConnectionLimits(8, SHORT, SHORT, SHORT, SHORT));
            RawConnection waiting = send("GET /slow HTTP/1.1");
            ExchangeIdentifier exchange = bench.next(Event.CallerRequest.class).exchange();
            connect().readToEnd();
            answer(exchange, "at last");
            assertTrue(waiting.readMessage().endsWith("at last"));
        }

        @Test
        void areClosedAboveTheMaximumNumber() {
            server = start(new ConnectionLimits(1, LONG, LONG, LONG, LONG));
            RawConnection first = send("GET /other HTTP/1.1");
            ExchangeIdentifier exchange = bench.next(Event.CallerRequest.class).exchange();
            assertEquals("", connect().readToEnd());
            assertEquals(1, bench.counted("connections_closed", "too_many"));
            answer(exchange, "served");
            assertTrue(first.readMessage().endsWith("served"));
        }
    }
}
