package org.carawaysill.node.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import org.approvaltests.Approvals;
import org.carawaysill.kernel.ring.Offer;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.model.settings.SizeLimits;
import org.carawaysill.node.testing.AdapterBench;
import org.carawaysill.node.testing.RawConnection;
import org.carawaysill.policy.event.Event;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(120)
class ExchangeServerTest {

    private static final SizeLimits SIZES = new SizeLimits(4096, 2048);

    private static final int BODY_BUDGET = 6000;

    private static final Duration LONG = Duration.ofMinutes(10);

    private static final Duration SHORT = Duration.ofMillis(50);

    private final AdapterBench bench = new AdapterBench();

    private final ExchangeTable table = bench.registry()
            .register(new ExchangeTable(
                    bench.eventLoop(), new IdentifierSource(new Random(1)), BODY_BUDGET, bench.registry()));

    private ExchangeServer server = start(new ConnectionLimits(8, LONG, LONG, LONG, LONG));

    private ExchangeServerSettings settings(ConnectionLimits limits) {
        return new ExchangeServerSettings(bench.vertx(), new NetworkAddress("127.0.0.1", 0), SIZES, limits);
    }

    private ExchangeServer start(ConnectionLimits limits) {
        ExchangeServer started = ExchangeServer.ingress(settings(limits), bench.registry());
        started.start().join();
        return started;
    }

    @AfterEach
    void close() {
        bench.close();
    }

    private RawConnection connect() {
        return RawConnection.to(server.port());
    }

    private RawConnection send(String head) {
        return connect().write(head + "\r\n\r\n");
    }

    private void answer(ExchangeIdentifier exchange, String body) {
        table.answer(
                exchange,
                new Outcome.Answered(new AnswerContent(200, List.of(new Header("X-Kept", "1")), Body.ofText(body))));
    }

    /** Checks that a well-behaved client still gets its answer. */
    private void expectOthersUntouched() {
        RawConnection other = send("GET /other HTTP/1.1");
        Event.CallerRequest request = bench.next(Event.CallerRequest.class);
        assertEquals("/other", request.content().path());
        answer(request.exchange(), "own");
        assertTrue(other.readMessage().endsWith("\r\n\r\nown"));
    }

    @Nested
    class Ingress {

        @Test
        void turnsAWholeRequestIntoAnEvent() {
            connect()
                    .write(
                            "POST http://entry/bills/7?full=true HTTP/1.1\r\nHost: entry\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
                                    + "Carawaysill-Caller: quay-gate\r\nCarawaysill-Attempt: x\r\nIdempotency-Key: key-1\r\n"
                                    + "traceparent: 00-1-2-01\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            Event.CallerRequest request = bench.next(Event.CallerRequest.class);
            assertEquals(new CallerName("quay-gate"), request.caller());
            assertEquals(Optional.of("key-1"), request.key());
            assertEquals("/bills/7?full=true", request.content().path());
            assertEquals(Body.ofText("abcde"), request.content().body());
            assertEquals(
                    List.of("Carawaysill-Caller", "Idempotency-Key", "traceparent"),
                    request.content().headers().stream().map(Header::name).toList());
        }

        @Test
        void tellsOfACallerThatGoesAway() {
            RawConnection connection = send("GET /slow HTTP/1.1");
            ExchangeIdentifier exchange = bench.next(Event.CallerRequest.class).exchange();
            connection.close();
            assertEquals(exchange, bench.next(Event.ExchangeClosed.class).exchange());
            answer(exchange, "late");
            AdapterBench.await(() -> bench.counted("lost_messages", "late_answer") == 1);
            expectOthersUntouched();
        }

        @Test
        void answersPipelinedRequestsInTheirOrder() {
            RawConnection connection = connect().write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
            answer(bench.next(Event.CallerRequest.class).exchange(), "first");
            answer(bench.next(Event.CallerRequest.class).exchange(), "second");
            assertTrue(connection.readMessage().endsWith("first"));
            assertTrue(connection.readMessage().endsWith("second"));
        }

        /*
         * A clerk reads another clerk's bill: two callers sent the same key and trace at the same time, and an answer
         * found the wrong one. Exchanges are told apart by identifiers that the node draws itself.
         */
        @Test
        void tellsExchangesWithTheSameKeyApart() {
            String head = "GET /bill HTTP/1.1\r\nIdempotency-Key: same\r\ntraceparent: 00-same-1-01";
            RawConnection first = send(head);
            ExchangeIdentifier firstExchange =
                    bench.next(Event.CallerRequest.class).exchange();
            RawConnection second = send(head);
            answer(bench.next(Event.CallerRequest.class).exchange(), "for the second");
            answer(firstExchange, "for the first");
            assertTrue(first.readMessage().endsWith("for the first"));
            assertTrue(second.readMessage().endsWith("for the second"));
        }

        @Test
        void closesTheConnectionWhenHttpCannotCarryTheAnswer() {
            RawConnection connection = send("GET /odd HTTP/1.1");
            table.answer(
                    bench.next(Event.CallerRequest.class).exchange(),
                    new Outcome.Answered(new AnswerContent(200, List.of(new Header("X Odd", "1")), Body.EMPTY)));
            assertEquals("", connection.readToEnd());
            expectOthersUntouched();
        }

        @Test
        void refusesAtOnceWhenTheRingIsFull() {
            while (bench.inbox().offerWork(new Event.WakeUp()) == Offer.ACCEPTED) {
                assertTrue(bench.inbox().ring().size() <= bench.inbox().ring().capacity());
            }
            String answer = send("GET /bill HTTP/1.1").readMessage();
            assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("\"reason\":\"ring_full\""), answer);
            assertEquals(1, bench.counted("refusals", "ring_full"));
        }
    }

    @Nested
    class Egress {

        @ParameterizedTest
        @CsvSource({"/services/parties/p/7?x=1,/p/7?x=1", "/services/parties,/", "/services/parties?x=1,/?x=1"})
        void takesServiceAndParentOfTheCopysCall(String path, String rest) {
            server = ExchangeServer.egress(settings(ConnectionLimits.DEFAULTS), bench.registry());
            server.start().join();
            send("GET " + path + " HTTP/1.1\r\nCarawaysill-Attempt: " + new AttemptIdentifier(5, 6));
            Event.CopyCall call = bench.next(Event.CopyCall.class);
            assertEquals(new ServiceName("parties"), call.target());
            assertEquals(Optional.of(new AttemptIdentifier(5, 6)), call.parent());
            assertEquals(rest, call.content().path());
        }

        @Test
        void refusesACallThatNamesNoService() {
            server = ExchangeServer.egress(settings(ConnectionLimits.DEFAULTS), bench.registry());
            server.start().join();
            assertTrue(send("GET /services/ HTTP/1.1").readToEnd().startsWith("HTTP/1.1 404 "));
            assertEquals(1, bench.counted("bad_requests", "no_service_in_path"));
        }
    }

    @Nested
    class Answers {

        private String answerTo(Outcome outcome) {
            RawConnection connection = send("GET /bill HTTP/1.1");
            table.answer(bench.next(Event.CallerRequest.class).exchange(), outcome);
            return connection.readMessage().replace("\r", "");
        }

        @Test
        void sayWhatTheRequestCameTo() {
            Optional<NodeName> peer = Optional.of(new NodeName("manifests-2"));
            Duration soon = Duration.ofMillis(1234);
            Approvals.verify(answerTo(new Outcome.Answered(
                            new AnswerContent(201, List.of(new Header("X-Odd", "a\u0001b")), Body.ofText("issued"))))
                    + "\n\n"
                    + answerTo(new Outcome.NotRun(RefusalReason.QUEUE_FULL, soon, Step.QUEUE, peer))
                    + "\n\n"
                    + answerTo(new Outcome.NotRun(RefusalReason.BAD_REQUEST, soon, Step.INGRESS, Optional.empty()))
                    + "\n\n"
                    + answerTo(new Outcome.Unknown(UnknownReason.PEER_LOST, Step.PEER_WAIT, peer)));
        }
    }

    @Nested
    class HostileRequests {

        private static void expectStatus(int status, String answer) {
            assertTrue(answer.matches("(?s)HTTP/1\\.[01] " + status + " .*"), answer);
        }

        /*
         * One client sends what breaks the rules, and a clerk's request beside it hangs or the node dies. Each such
         * request gets a counted refusal, its connection is closed, and others are served.
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
            expectOthersUntouched();
        }

        @Test
        void areRefusedWithTooLongLinesAndHeaders() {
            expectStatus(414, send("GET /" + "x".repeat(9000) + " HTTP/1.1").readToEnd());
            expectStatus(431, send("GET / HTTP/1.1\r\nX: " + "x".repeat(4000)).readToEnd());
            expectOthersUntouched();
        }

        @Test
        void areRefusedWithABodyThatGrowsOverTheLimit() {
            RawConnection connection = send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked");
            connection.write("1000\r\n" + "x".repeat(4096) + "\r\n").write("1\r\nx\r\n");
            assertTrue(connection.readHead().startsWith("HTTP/1.1 413 "));
            connection.writeUntilRefused("400\r\n" + "x".repeat(1024) + "\r\n");
            expectOthersUntouched();
        }

        @Test
        void areCutOffWhenTheirChunksAreBroken() {
            RawConnection connection =
                    send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked").write("zz\r\n");
            connection.readToEnd();
            AdapterBench.await(() -> bench.counted("connections_closed", "broken") >= 1);
            expectOthersUntouched();
        }

        /*
         * The process dies of an exhausted heap: each of many bodies is within its own limit, all together are not. What
         * finds no room is refused, and the room comes back with the answers.
         */
        @Test
        void areRefusedWhenTheirBodiesFillTheMemoryTogether() {
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
         * Callers find no place although the node is idle: somebody holds connections and sends nothing, or a byte now
         * and then. Each phase of an exchange has a limit as a whole, however many bytes come.
         */
        @ParameterizedTest
        @ValueSource(strings = {"", "GET / HT", "GET / HTTP/1.1\r\nX-Slow: 1\r\n"})
        void areClosedWhenTheHeaderDoesNotEnd(String begin) {
            server = start(new ConnectionLimits(8, SHORT, LONG, LONG, LONG));
            connect().write(begin).readToEnd();
            assertEquals(1, bench.counted("connections_closed", "slow_header"));
            expectOthersUntouched();
        }

        @Test
        void areClosedWhenTheBodyDoesNotEnd() {
            server = start(new ConnectionLimits(8, SHORT, LONG, SHORT, LONG));
            connect().write("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf").readToEnd();
            assertEquals(1, bench.counted("connections_closed", "slow_body"));
            expectOthersUntouched();
        }

        @Test
        void areClosedWhenTheAnswerIsNotRead() {
            server = start(new ConnectionLimits(8, SHORT, LONG, LONG, SHORT));
            RawConnection notReading = send("GET /big HTTP/1.1");
            answer(bench.next(Event.CallerRequest.class).exchange(), "x".repeat(32 * 1024 * 1024));
            AdapterBench.await(() -> bench.counted("connections_closed", "slow_reader") == 1);
            notReading.close();
            expectOthersUntouched();
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
        void areClosedOverTheirNumber() {
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
