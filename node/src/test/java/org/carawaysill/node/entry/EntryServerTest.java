package org.carawaysill.node.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.carawaysill.model.fleet.ClientLimits;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.KeyDigest;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.node.memory.MemoryAccount;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.testing.LoopBench;
import org.carawaysill.node.testing.RawConnection;
import org.carawaysill.policy.fleet.FleetEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(120)
class EntryServerTest {

    private static final int MEMORY_BYTES = 32_000_000;
    private static final int BODY_BYTES = 100_000;
    private static final int MAXIMUM_CONNECTIONS = 100;

    private final LoopBench bench = new LoopBench();
    private final EntryServer server = new EntryServer(
            bench.eventLoop(),
            new NetworkAddress("127.0.0.1", 0),
            LoopBench.DIALECT,
            new MemoryAccount(MEMORY_BYTES, BODY_BYTES),
            MAXIMUM_CONNECTIONS,
            bench::add,
            bench.registry());

    @BeforeEach
    void start() {
        server.start().join();
        limit(new ClientLimits(4096, 10_000, Duration.ofSeconds(20), Duration.ofSeconds(20)));
    }

    @AfterEach
    void close() {
        bench.close();
    }

    private void limit(ClientLimits limits) {
        bench.onLoop(() -> server.limitClients(limits));
    }

    private RawConnection send(String bytes) {
        return RawConnection.to(server.port()).write(bytes);
    }

    private static String get(String name) {
        return "GET /" + name + " HTTP/1.1\r\nHost: fleet.example\r\nName: " + name + "\r\n\r\n";
    }

    private FleetEvent.RequestArrived arrived() {
        return bench.next(FleetEvent.RequestArrived.class);
    }

    private void answer(ExchangeIdentifier exchange, Outcome outcome) {
        bench.onLoop(() -> server.answer(exchange, outcome));
    }

    private static Outcome good(String body) {
        return new Outcome.Answered(new AnswerContent(200, List.of(new Header("Seal", "s")), Body.ofText(body)));
    }

    @Nested
    class Requests {

        @Test
        void arriveCompleteWithoutTheFieldsThatTheNodeSets() {
            send(
                    "POST /bills/7?x=1 HTTP/1.1\r\nHost: fleet.example\r\nName: a\r\nPatience: 1500\r\nCaller: forged\r\n"
                            + "Copy: forged\r\nOther: kept\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            FleetEvent.RequestArrived request = arrived();
            assertEquals("a", request.requestName());
            assertEquals("fleet.example", request.host());
            assertEquals(Optional.of(Duration.ofMillis(1500)), request.clientTimeout());
            assertEquals("/bills/7?x=1", request.content().path());
            assertEquals(Body.ofText("abcde"), request.content().body());
            assertEquals(
                    List.of("Host", "Other"),
                    request.content().headers().stream().map(Header::name).toList());
        }

        /*
         * A client pipelines three lookups on one connection. If they were processed one after the other, the third
         * would wait for the sum of all; the answers must still be in the order of the requests.
         */
        @Test
        void onOneConnectionRunConcurrentlyAndAreAnsweredInOrder() {
            RawConnection connection = send(get("a") + get("b") + get("c"));
            FleetEvent.RequestArrived first = arrived();
            FleetEvent.RequestArrived second = arrived();
            FleetEvent.RequestArrived third = arrived();
            answer(third.exchange(), good("three"));
            answer(second.exchange(), good("two"));
            answer(first.exchange(), good("one"));
            assertTrue(connection.readMessage().endsWith("one"));
            assertTrue(connection.readMessage().endsWith("two"));
            assertTrue(connection.readMessage().endsWith("three"));
        }

        @Test
        void ofAClientThatDisconnectsAreReported() {
            RawConnection connection = send(get("a"));
            ExchangeIdentifier exchange = arrived().exchange();
            connection.close();
            assertEquals(exchange, bench.next(FleetEvent.ExchangeClosed.class).exchange());
        }
    }

    @Nested
    class Keys {

        private FleetEvent.RequestArrived with(String... fields) {
            send("GET /a HTTP/1.1\r\nHost: fleet.example\r\nName: a\r\n" + String.join("\r\n", fields) + "\r\n\r\n");
            return arrived();
        }

        private static KeyDigest digest(String key) {
            return KeyDigest.of(key.getBytes(StandardCharsets.ISO_8859_1));
        }

        @ParameterizedTest
        @CsvSource({
            "Authorization: Token abc",
            "authorization:Token abc",
            "AUTHORIZATION: token   abc",
            "Authorization: TOKEN abc  "
        })
        void areReadInAnyCaseAndNotForwarded(String field) {
            FleetEvent.RequestArrived request = with(field);
            assertEquals(Optional.of(digest("abc")), request.credential().key());
            assertEquals(
                    List.of(new Header("Host", "fleet.example")),
                    request.content().headers());
        }

        /** Guards against a node that selects one of several possible readings of the credentials. */
        @ParameterizedTest
        @CsvSource({
            "Authorization: Token",
            "Authorization: Token ",
            "Authorization:",
            "Authorization: abc",
            "Authorization: Bearer abc",
            "Authorization: Token abc def",
            "Authorization: Tokenabc",
            "'Authorization: Token abc\r\nAuthorization: Token abc'",
            "'Authorization: Token abc\r\nAuthorization: Token def'"
        })
        void thatAreNotASingleKeyCountAsPresentedButUnreadable(String fields) {
            FleetEvent.RequestArrived request = with(fields.replace("\\r\\n", "\r\n"));
            assertTrue(request.credential().isPresented());
            assertEquals(Optional.empty(), request.credential().key());
            assertEquals(
                    List.of(new Header("Host", "fleet.example")),
                    request.content().headers());
        }

        @Test
        void ofAnyLengthWithinTheLimitAreKeptOnlyAsDigests() {
            limit(new ClientLimits(16_384, 10_000, Duration.ofSeconds(20), Duration.ofSeconds(20)));
            String key = "x".repeat(10_000);
            FleetEvent.RequestArrived request = with("Authorization: Token " + key);
            assertEquals(Optional.of(digest(key)), request.credential().key());
            assertFalse(request.toString().contains("xxx"), "toString of the event contains the key");
        }

        /** A field folded over two lines is obsolete, and other readers on the path may see two fields. */
        @Test
        void foldedOverLinesAreReadAsOneField() {
            RawConnection connection = send("GET /a HTTP/1.1\r\nHost: fleet.example\r\nName: a\r\n"
                    + "Authorization: Token\r\n abc\r\nOther: b\r\n\r\n");
            FleetEvent.RequestArrived request = arrived();
            assertEquals(Optional.of(digest("abc")), request.credential().key());
            assertEquals(
                    List.of("Host", "Other"),
                    request.content().headers().stream().map(Header::name).toList());
            connection.close();
        }

        @ParameterizedTest
        @CsvSource({
            "Organisation: forged",
            "organisation: forged",
            "'Organisation: a\r\nORGANISATION: b'",
            "Connection: organisation"
        })
        void areNotReplacedByAnOrganisationInAClientsHeader(String fields) {
            FleetEvent.RequestArrived request = with(fields.replace("\\r\\n", "\r\n"));
            assertEquals(
                    List.of(new Header("Host", "fleet.example")),
                    request.content().headers());
        }
    }

    @Nested
    class Answers {

        @Test
        void ofACopyAreForwardedUnchanged() {
            RawConnection connection = send(get("a"));
            answer(
                    arrived().exchange(),
                    new Outcome.Answered(
                            new AnswerContent(504, List.of(new Header("Seal", "x.1")), Body.ofText("late"))));
            String message = connection.readMessage();
            assertTrue(message.startsWith("HTTP/1.1 504 "), message);
            assertTrue(message.contains("Seal: x.1\r\n"), message);
            assertTrue(message.contains("Name: a\r\n"), message);
            assertTrue(message.endsWith("late"), message);
        }

        @ParameterizedTest
        @CsvSource({
            "OVERLOAD, 503, 0.350",
            "UNKNOWN_OPERATION, 404, ''",
            "NO_CONFIGURATION, 503, 0.350",
            "KEY_MISSING, 401, ''",
            "KEY_UNKNOWN, 401, ''",
            "KEY_UNVERIFIED, 503, 0.350",
            "OVER_ALLOWANCE, 429, 0.350"
        })
        void sayThatARequestWasNotRun(RefusalReason reason, int status, String retryAfter) {
            RawConnection connection = send(get("a"));
            answer(
                    arrived().exchange(),
                    new Outcome.NotRun(reason, Duration.ofMillis(350), Step.ADMISSION, Optional.empty()));
            String message = connection.readMessage();
            assertTrue(message.startsWith("HTTP/1.1 " + status), message);
            assertEquals(!retryAfter.isEmpty(), message.contains("retry-after: " + retryAfter + "\r\n"), message);
        }

        @ParameterizedTest
        @CsvSource({"DEADLINE, 504", "COPY_LOST, 502", "PEER_LOST, 502"})
        void sayThatARequestMayHaveRun(UnknownReason reason, int status) {
            RawConnection connection = send(get("a"));
            answer(arrived().exchange(), new Outcome.Unknown(reason, Step.COPY_WAIT, Optional.empty()));
            String message = connection.readMessage();
            assertTrue(message.startsWith("HTTP/1.1 " + status), message);
        }
    }

    @Nested
    class HostileClients {

        /** Guards against a path that no other node accepts: the message with it would end the link between two nodes. */
        @ParameterizedTest
        @ValueSource(strings = {"/a\u0001b", "/a\u007fb", "/a\u0000b"})
        void sendAPathWithControlCharacters(String path) {
            String answer = send("GET " + path + " HTTP/1.1\r\nHost: fleet.example\r\nName: a\r\n\r\n")
                    .readMessage();
            assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
            assertTrue(bench.hasNone());
        }

        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "POST / HTTP/1.1~Host: f~Name: a~Content-Length: 1~Transfer-Encoding: chunked~~0~~|400",
                    "POST / HTTP/1.1~Host: f~Name: a~Content-Length: 1~Content-Length: 2~~ab|400",
                    "POST / HTTP/1.1~Host: f~Name: a~Transfer-Encoding: gzip, chunked~~0~~|400",
                    "GET / HTTP/1.1~Host: f~~|400",
                    "GET / HTTP/1.1~Name: a~~|400",
                    "nonsense~~|400",
                    "POST / HTTP/1.1~Host: f~Name: a~Content-Length: 20000~~|413"
                })
        void areRejectedAndNothingIsForwarded(String request, int status) {
            RawConnection connection = send(request.replace("~", "\r\n"));
            assertTrue(connection.readMessage().startsWith("HTTP/1.1 " + status));
            assertTrue(bench.hasNone());
            assertEquals("", connection.readToEnd());
        }

        @Test
        void withBareLineFeedsCannotSmuggleRequests() {
            send("GET / HTTP/1.1\nHost: f\nName: a\n\n").readMessage();
            assertTrue(bench.hasNone());
        }

        @Test
        void withATooLargeHeadAreRejected() {
            RawConnection connection =
                    send("GET / HTTP/1.1\r\nHost: f\r\nName: a\r\nLong: " + "x".repeat(9000) + "\r\n\r\n");
            assertTrue(connection.readMessage().startsWith("HTTP/1.1 431"));
        }

        @Test
        void withATooSlowHeadAreRejected() {
            limit(new ClientLimits(4096, 10_000, Duration.ofMillis(300), Duration.ofSeconds(20)));
            RawConnection connection = send("GET / HTTP/1.1\r\nHost: f");
            assertTrue(connection.readMessage().startsWith("HTTP/1.1 408"));
        }

        /** Guards against a client that goes on sending what is refused, and keeps its connection. */
        @Test
        void thatGoOnSendingAreDisconnected() {
            RawConnection connection = send("nonsense\r\n\r\n");
            assertTrue(connection.readMessage().startsWith("HTTP/1.1 400"));
            connection.writeUntilRefused("x".repeat(1000));
        }

        @Test
        void thatExceedTheMemoryForBodiesAreRejectedWhileOthersAreServed() {
            limit(new ClientLimits(4096, 1_000_000, Duration.ofSeconds(20), Duration.ofSeconds(20)));
            RawConnection connection = send("POST / HTTP/1.1\r\nHost: f\r\nName: a\r\nContent-Length: 200000\r\n\r\n");
            connection.write("x".repeat(150_000));
            assertTrue(connection.readMessage().startsWith("HTTP/1.1 503"));
            RawConnection other = send(get("b"));
            answer(arrived().exchange(), good("one"));
            assertTrue(other.readMessage().endsWith("one"));
        }
    }

    @Nested
    class LargeBodies {

        private static String post(String name, int length) {
            return "POST / HTTP/1.1\r\nHost: f\r\nName: " + name + "\r\nContent-Length: " + length
                    + "\r\nExpect: 100-continue\r\n\r\n";
        }

        @BeforeEach
        void allow() {
            limit(new ClientLimits(4096, 1_000_000, Duration.ofSeconds(20), Duration.ofSeconds(20)));
        }

        private String heldBytes() {
            StringBuilder held = new StringBuilder();
            bench.onLoop(() -> bench.registry()
                    .require(Counters.NAME, Counters.class)
                    .registry()
                    .scrape(name -> name.equals(Counters.PREFIX + "entry_body_bytes"))
                    .forEach(snapshot -> snapshot.getDataPoints().stream()
                            .filter(point -> "held".equals(point.getLabels().get("state")))
                            .forEach(point -> held.append(((GaugeDataPointSnapshot) point).getValue()))));
            return held.toString();
        }

        // Guards against bodies that are read although there is no memory for them.
        @Test
        void areRefusedBeforeTheyAreReadAndToldWhenToComeBack() {
            // A connection that nothing refers to is closed by the garbage collector.
            RawConnection holding = send(post("a", 60_000)).write("x".repeat(60_000));
            ExchangeIdentifier held = arrived().exchange();
            assertEquals("60000.0", heldBytes());
            String refusal = send(post("b", 60_000)).readMessage();
            assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
            assertTrue(refusal.toLowerCase(Locale.ROOT).contains("retry-after: 0.5"), refusal);
            assertTrue(bench.hasNone());
            answer(held, good("one"));
            assertEquals("0.0", heldBytes());
            holding.readHead();
            assertTrue(holding.readMessage().endsWith("one"));
            send(post("c", 60_000)).write("x".repeat(60_000));
            assertEquals("c", arrived().requestName());
        }

        // Guards against clients whose first bytes take the memory of long bodies without a bound.
        @Test
        void reserveTheirStatedLengthWithTheirFirstByte() {
            RawConnection begun = send(post("a", 60_000) + "x");
            begun.readHead();
            assertTrue(send(post("b", 60_000)).readMessage().startsWith("HTTP/1.1 503"));
            begun.close();
            assertTrue(bench.hasNone());
        }
    }

    @Nested
    class SlowReaders {

        private static final Duration IDLE = Duration.ofMillis(600);

        /** More than the buffers of the operating system take of an answer. */
        private static final int ANSWER_BYTES = 12_000_000;

        /** Less than these buffers take, and more than that of the client alone. */
        private static final int BUFFERED_BYTES = 3_000_000;

        /** As many as a connection may have, so that no more are read from it. */
        private static final int OPEN_REQUESTS = 64;

        /** Answers a request with so large a body that its client must read it in time. */
        private RawConnection answerAtLength() {
            RawConnection connection = send(get("a"));
            answer(arrived().exchange(), good("x".repeat(ANSWER_BYTES)));
            return connection;
        }

        private UnwrittenAnswers unwritten() {
            AtomicReference<UnwrittenAnswers> unwritten = new AtomicReference<>();
            bench.onLoop(() -> unwritten.set(server.unwritten()));
            return unwritten.get();
        }

        /** Guards against a connection that is closed as idle while its client still reads an answer. */
        @Test
        void areNotIdle() {
            limit(new ClientLimits(4096, 10_000, Duration.ofSeconds(20), IDLE));
            RawConnection connection = answerAtLength();
            LoopBench.pause(IDLE.multipliedBy(3));
            assertEquals(ANSWER_BYTES, connection.readMessageLength());
        }

        /** Guards against a stop that closes a connection whose client still reads an answer. */
        @Test
        void keepTheirConnectionsAtTheEndOfAStop() {
            RawConnection connection = answerAtLength();
            bench.onLoop(server::beginStop);
            server.stop().join();
            assertEquals(ANSWER_BYTES, connection.readMessageLength());
        }

        @Test
        void areCountedUntilTheyHaveReadAll() {
            RawConnection connection = answerAtLength();
            UnwrittenAnswers left = unwritten();
            assertEquals(1, left.connections());
            assertEquals(1, left.answers());
            assertTrue(left.bytes() > 0 && left.bytes() < ANSWER_BYTES, left.toString());
            connection.readMessageLength();
            bench.onLoop(() -> {});
            assertEquals(UnwrittenAnswers.NONE, unwritten());
        }

        /** Guards against a client that leaves and is waited for. */
        @Test
        void thatDisconnectAreNotCounted() {
            answerAtLength().reset();
            bench.awaitOnLoop(() -> server.unwritten().isEmpty());
        }

        /** Guards against a reset that takes answers from a client which reads them late and goes on sending. */
        @Test
        void keepTheirConnectionsAfterTheLastAnswerUntilTheyCloseThem() {
            RawConnection connection = send(get("a"));
            bench.onLoop(server::beginStop);
            answer(arrived().exchange(), good("x".repeat(BUFFERED_BYTES)));
            LoopBench.pause(Duration.ofMillis(1500));
            connection.write(get("b"));
            assertEquals(1, unwritten().connections());
            assertEquals(BUFFERED_BYTES, connection.readMessageLength());
            assertEquals("", connection.readToEnd());
            connection.close();
            bench.awaitOnLoop(() -> server.unwritten().isEmpty());
        }

        /** Guards against a client with many open requests from which nothing is read any more after the last answer. */
        @Test
        void areReadFromAfterTheLastAnswer() {
            RawConnection connection = send(get("a").repeat(OPEN_REQUESTS));
            List<ExchangeIdentifier> exchanges = IntStream.range(0, OPEN_REQUESTS)
                    .mapToObj(_ -> arrived().exchange())
                    .toList();
            bench.onLoop(server::beginStop);
            // All are written with that of the first request, which comes last.
            exchanges.reversed().forEach(exchange -> answer(exchange, good("one")));
            connection.write("x".repeat(ANSWER_BYTES));
            exchanges.forEach(_ -> assertTrue(connection.readMessage().endsWith("one")));
            assertEquals("", connection.readToEnd());
        }
    }

    @Nested
    class Stopping {

        @Test
        void answersOpenExchangesAndThenClosesTheConnection() {
            RawConnection connection = send(get("a"));
            ExchangeIdentifier exchange = arrived().exchange();
            bench.onLoop(server::beginStop);
            answer(exchange, good("one"));
            String message = connection.readMessage();
            assertTrue(message.contains("connection: close\r\n"), message);
            assertEquals("", connection.readToEnd());
        }
    }
}
