package org.carawaysill.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.node.testing.LoopBench;
import org.carawaysill.node.testing.RawConnection;
import org.carawaysill.node.testing.RawCopy;
import org.carawaysill.policy.fleet.FleetEffect;
import org.carawaysill.policy.fleet.FleetEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A copy that goes on sending until the node closes the connection. */
@Timeout(120)
class EndlessAnswersTest {

    private static final int MEBIBYTE = 1024 * 1024;
    private static final long MEMORY = 4L * MEBIBYTE;

    /** Far longer than any of these tests takes, so that no deadline ends a request. */
    private static final Duration PATIENCE = Duration.ofMinutes(10);

    private static final String OWN = "HTTP/1.1 200 OK\r\nName: a\r\nSeal: s\r\n";
    private static final String CHUNKS = "Transfer-Encoding: chunked\r\n\r\n";

    private final LoopBench bench = new LoopBench();
    private final RawCopy copy = new RawCopy();
    private final CopyConnections connections = new CopyConnections(
            bench.eventLoop(),
            copy.address(),
            LoopBench.DIALECT,
            MEMORY,
            Integer.MAX_VALUE,
            bench::add,
            bench.registry());
    private long attempts;

    @AfterEach
    void close() {
        bench.close();
        copy.close();
    }

    private AttemptIdentifier send(String method) {
        FleetEffect.SendToCopy request = new FleetEffect.SendToCopy(
                new AttemptIdentifier(0, ++attempts),
                new CopyName("copy-1"),
                new ServiceName("front"),
                Optional.empty(),
                "a",
                new RequestContent(method, "/bills/a", List.of(), Body.EMPTY),
                System.nanoTime() + PATIENCE.toNanos());
        bench.onLoop(() -> connections.send(request));
        return request.attempt();
    }

    private RawConnection accept() {
        RawConnection connection = copy.accept();
        connection.readHead();
        return connection;
    }

    private Outcome outcome() {
        return bench.next(FleetEvent.CopyAnswered.class).outcome();
    }

    private static String chunk(int bytes) {
        return Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
    }

    @Nested
    class OneConnection {

        static Stream<Arguments> endless() {
            String foreign = "HTTP/1.1 200 OK\r\nName: other\r\nSeal: s\r\n";
            String refusal = "HTTP/1.1 503 Full\r\nName: a\r\nNot-Run: 1\r\n";
            return Stream.of(
                    Arguments.of("a status line", "", "HTTP/1.1 200 OK"),
                    Arguments.of("empty lines", "", "\r\n"),
                    Arguments.of("no answer at all", "", "x7#qq\r\n"),
                    Arguments.of("header fields", OWN, "Field: value\r\n"),
                    Arguments.of("one header field", OWN + "Field: ", "value"),
                    Arguments.of("informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
                    Arguments.of("a change of protocol", "HTTP/1.1 101 Other\r\nUpgrade: x\r\n\r\n", "bytes"),
                    Arguments.of("a body", OWN + "\r\n", "x".repeat(1000)),
                    Arguments.of("a body with a length", OWN + "Content-Length: 9999999999\r\n\r\n", "x".repeat(1000)),
                    Arguments.of("chunks", OWN + CHUNKS, chunk(1000)),
                    Arguments.of("a chunk's extension", OWN + CHUNKS + "3;", "x=1;"),
                    Arguments.of("chunks with extensions", OWN + CHUNKS, "1;" + "x".repeat(5000) + "\r\na\r\n"),
                    Arguments.of("trailers", OWN + CHUNKS + "0\r\n", "Field: value\r\n"),
                    Arguments.of("a failure's body", OWN.replace("200 OK", "500 Failed") + "\r\n", "x".repeat(1000)),
                    Arguments.of("a refusal's body", refusal + "\r\n", "x".repeat(1000)),
                    Arguments.of("the body of another request's answer", foreign + "\r\n", "x".repeat(1000)),
                    Arguments.of("answers to other requests", "", foreign + "Content-Length: 1\r\n\r\nx"));
        }

        /** Guards against bytes without end that hold a request until its deadline, or fill the memory. */
        @ParameterizedTest(name = "{0}")
        @MethodSource("endless")
        void isClosedLongBeforeTheDeadline(String what, String begin, String more) {
            send("GET");
            RawConnection connection = accept();
            connection.write(begin);
            connection.writeUntilRefused(more.repeat(Math.max(1, 10_000 / more.length())));
            assertInstanceOf(Outcome.Unknown.class, outcome(), what);
            assertTrue(bench.hasNone());
            bench.awaitOnLoop(() -> connections.open().isEmpty());
            assertNothingIsKept();
        }

        /** Guards against bytes without end behind an answer that has no body. */
        @Test
        void isClosedBehindAnAnswerWithoutBody() {
            send("HEAD");
            RawConnection connection = accept();
            connection.write(OWN + "Content-Length: 3\r\n\r\n");
            connection.writeUntilRefused("x".repeat(1000));
            assertInstanceOf(Outcome.Answered.class, outcome());
        }
    }

    private void assertNothingIsKept() {
        bench.onLoop(() -> assertEquals(0, connections.answerBodies().reserved()));
    }

    @Nested
    class ManyConnections {

        private static final int ENDLESS = 12;
        private static final int SOUND = 12;

        /** Guards against endless answers that fill the memory together, so that sound ones find no room. */
        @Test
        void leaveRoomForSoundAnswers() {
            List<AttemptIdentifier> sent = IntStream.range(0, ENDLESS + SOUND)
                    .mapToObj(_ -> send("GET"))
                    .toList();
            List<RawConnection> accepted = new ArrayList<>();
            sent.forEach(_ -> accepted.add(accept()));
            List<Thread> writers = accepted.subList(0, ENDLESS).stream()
                    .map(connection -> Thread.ofPlatform().start(() -> {
                        connection.write(OWN + "\r\n");
                        connection.writeUntilRefused("x".repeat(10_000));
                    }))
                    .toList();
            String body = "y".repeat(20_000);
            accepted.subList(ENDLESS, sent.size())
                    .forEach(connection ->
                            connection.write(OWN + "Content-Length: " + body.length() + "\r\n\r\n" + body));
            Map<Class<?>, Integer> counts = new HashMap<>();
            sent.forEach(_ -> counts.merge(outcome().getClass(), 1, Integer::sum));
            writers.forEach(writer -> {
                try {
                    writer.join();
                } catch (InterruptedException interrupted) {
                    throw new AssertionError(interrupted);
                }
            });
            assertEquals(Map.of(Outcome.Unknown.class, ENDLESS, Outcome.Answered.class, SOUND), counts);
            assertNothingIsKept();
        }

        /** Guards against memory that stays reserved for answers that were broken off. */
        @Test
        void giveTheirMemoryBackWhenTheyAreCancelled() {
            AttemptIdentifier attempt = send("GET");
            RawConnection connection = accept();
            connection.write(OWN + "\r\n" + "x".repeat(MEBIBYTE));
            bench.awaitOnLoop(() -> connections.answerBodies().reserved() > 0);
            bench.onLoop(() -> connections.cancel(attempt));
            assertNothingIsKept();
        }

        @Test
        void takeAnAnswerThatFillsMostOfTheMemory() {
            send("GET");
            RawConnection connection = accept();
            String body = "x".repeat(3 * MEBIBYTE);
            connection.write(OWN + CHUNKS + chunk(body.length()) + "0\r\n\r\n");
            Outcome.Answered answered = assertInstanceOf(Outcome.Answered.class, outcome());
            assertEquals(Body.ofText(body), answered.content().body());
            assertNothingIsKept();
        }
    }
}
