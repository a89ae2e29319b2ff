package org.carawaysill.node.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.model.settings.SizeLimits;
import org.carawaysill.node.testing.AdapterBench;
import org.carawaysill.node.testing.RawConnection;
import org.carawaysill.node.testing.RawCopy;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(120)
class CopyClientTest {

    private static final AttemptIdentifier FIRST = new AttemptIdentifier(1, 1);

    private static final AttemptIdentifier SECOND = new AttemptIdentifier(2, 2);

    private static final SizeLimits SIZES = new SizeLimits(4096, 4096);

    private final AdapterBench bench = new AdapterBench();

    private final RawCopy copy = new RawCopy();

    /** Offsets that are added to the clock, one per reading. */
    private final Deque<Long> clockOffsets = new ArrayDeque<>();

    private final CopyClient client = new CopyClient(
            new CopyClientSettings(bench.vertx(), bench.eventLoop(), copy.address(), SIZES, this::clock),
            bench.registry());

    private long clock() {
        return System.nanoTime() + Optional.ofNullable(clockOffsets.poll()).orElse(0L);
    }

    @AfterEach
    void close() {
        client.stop().join();
        copy.close();
        bench.close();
    }

    private void send(AttemptIdentifier attempt, String method) {
        send(attempt, method, "gate");
    }

    private void send(AttemptIdentifier attempt, String method, String desk) {
        RequestContent content = new RequestContent(
                method, "/bills/7?full=true", List.of(new Header("X-Desk", desk)), Body.ofText("hello"));
        client.send(new Effect.SendToCopy(
                attempt, content, System.nanoTime() + Duration.ofMinutes(1).toNanos()));
    }

    private RawConnection sendAndAccept(AttemptIdentifier attempt) {
        send(attempt, "POST");
        RawConnection connection = copy.accept();
        connection.readMessage();
        return connection;
    }

    private Outcome outcomeOf(AttemptIdentifier attempt) {
        Event.CopyAnswered answered = bench.next(Event.CopyAnswered.class);
        assertEquals(attempt, answered.attempt());
        return answered.outcome();
    }

    private AnswerContent answerOf(AttemptIdentifier attempt) {
        return assertInstanceOf(Outcome.Answered.class, outcomeOf(attempt)).content();
    }

    private static String textOf(AnswerContent content) {
        return new String(content.body().bytes(), StandardCharsets.UTF_8);
    }

    private void expectUnknown(AttemptIdentifier attempt, UnknownReason reason) {
        assertEquals(
                reason,
                assertInstanceOf(Outcome.Unknown.class, outcomeOf(attempt)).reason());
    }

    private void expectNotRun(AttemptIdentifier attempt, RefusalReason reason) {
        assertEquals(
                reason,
                assertInstanceOf(Outcome.NotRun.class, outcomeOf(attempt)).reason());
    }

    @Nested
    class Passing {

        @Test
        void passesTheRequestWithItsAttemptAndDeadline() {
            send(FIRST, "POST");
            String request = copy.accept().readMessage();
            assertTrue(request.startsWith("POST /bills/7?full=true HTTP/1.1\r\n"), request);
            assertTrue(request.contains("X-Desk: gate\r\n"), request);
            assertTrue(request.contains("Carawaysill-Attempt: " + FIRST + "\r\n"), request);
            assertTrue(request.matches("(?s).*Carawaysill-Deadline-Milliseconds: [1-9]\\d*\r\n.*"), request);
            assertTrue(request.endsWith("hello"), request);
        }

        /*
         * A caller received "not run" although its request ran: the copy forwarded the outcome field of a call that it
         * had made itself. Checks that the node removes the project's fields and hop-by-hop fields from each answer of
         * a copy.
         */
        @Test
        void removesOutcomeAndHopByHopFieldsFromTheAnswer() {
            sendAndAccept(FIRST)
                    .write("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 2\r\nCarawaysill-Outcome: not-run\r\n"
                            + "Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nX-Kept: 1\r\n\r\nok");
            AnswerContent answer = answerOf(FIRST);
            assertEquals(502, answer.status());
            assertEquals(List.of(new Header("X-Kept", "1")), answer.headers());
            assertEquals("ok", textOf(answer));
        }

        @Test
        void keepsTheLengthThatAnAnswerToHeadStates() {
            send(FIRST, "HEAD");
            RawConnection connection = copy.accept();
            connection.readHead();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
            assertEquals(
                    List.of(new Header("Content-Length", "77")), answerOf(FIRST).headers());
        }

        @Test
        void usesAConnectionAgainAfterACompleteAnswer() {
            RawConnection connection = sendAndAccept(FIRST).write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
            assertEquals("a", textOf(answerOf(FIRST)));
            send(SECOND, "POST");
            assertTrue(connection.readMessage().contains(SECOND.toString()));
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n");
            assertEquals("b", textOf(answerOf(SECOND)));
        }
    }

    @Nested
    class NotRun {

        @Test
        void isReportedIfTheCopyIsUnreachable() {
            copy.close();
            send(FIRST, "POST");
            expectNotRun(FIRST, RefusalReason.COPY_UNREACHABLE);
        }

        /*
         * A clerk was informed that a request was given up, but it ran nevertheless: the process was paused between the
         * decision and the write and resumed after the deadline. Here the clock jumps while the connection is opened;
         * the copy must receive no byte.
         */
        @Test
        void isReportedIfAPauseEndsAfterTheDeadline() {
            clockOffsets.addAll(List.of(0L, Duration.ofMinutes(2).toNanos()));
            send(FIRST, "POST");
            expectNotRun(FIRST, RefusalReason.DEADLINE);
            assertEquals("", copy.accept().readToEnd());
        }

        /*
         * A slot of the copy was never freed: a request that HTTP can't represent made the client fail before the
         * write, and its end was not reported.
         */
        @ParameterizedTest
        @CsvSource({"BAD METHOD, gate", "POST, 'gate\r\nX-Forged: 1'"})
        void isReportedForARequestThatHttpCannotRepresent(String method, String desk) {
            send(FIRST, method, desk);
            expectNotRun(FIRST, RefusalReason.BAD_REQUEST);
        }
    }

    @Nested
    class Unknown {

        @Test
        void isReportedIfTheCopyClosesWithoutAnAnswer() {
            sendAndAccept(FIRST).close();
            expectUnknown(FIRST, UnknownReason.COPY_LOST);
        }

        /*
         * A forwarder read half a manifest as if it were complete: the copy died in the middle of its answer, or the
         * answer states no length at all, so that its end can't be distinguished from a crash.
         */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 10\r\n\r\nshort",
                    "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
                    "Transfer-Encoding: chunked\r\n\r\nzz\r\nshort\r\n",
                    "X-No-Length: 1\r\n\r\nshort",
                    "Content-Length: 5000\r\n\r\n"
                })
        void isReportedForATruncatedAnswer(String rest) {
            RawConnection connection = sendAndAccept(FIRST).write("HTTP/1.1 200 OK\r\n" + rest);
            if (rest.contains("5000")) {
                connection.write("x".repeat(5000));
            }
            connection.close();
            expectUnknown(FIRST, UnknownReason.TRUNCATED);
        }

        @Test
        void isReportedForAnAnswerThatNamesAnotherAttempt() {
            RawConnection connection = sendAndAccept(FIRST)
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCarawaysill-Attempt: " + SECOND + "\r\n\r\n");
            expectUnknown(FIRST, UnknownReason.COPY_LOST);
            assertEquals("", connection.readToEnd());
            assertEquals(1, bench.counted("breaches", "own_answer"));
        }

        @Test
        void isReportedForAnAnswerThatIsNotHttp() {
            sendAndAccept(FIRST).write("220 mail.example ESMTP\r\n\r\n");
            expectUnknown(FIRST, UnknownReason.COPY_LOST);
        }
    }

    @Nested
    class OwnAnswer {

        /*
         * An agent saw another agent's bill: the first request was given up, its answer came late, and was matched to
         * the next request on the same connection. Checks that a cancelled exchange closes its connection.
         */
        @Test
        void isNotTheLateAnswerOfACancelledExchange() {
            RawConnection connection = sendAndAccept(FIRST);
            client.cancel(FIRST);
            expectUnknown(FIRST, UnknownReason.COPY_LOST);
            assertEquals("", connection.readToEnd());
            sendAndAccept(SECOND).write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
            assertEquals("own", textOf(answerOf(SECOND)));
        }

        /*
         * The same, but the copy answers one request twice, and the second answer is already received when the next
         * request is to be written. That request may end as unknown if the connection is being closed at that time, but
         * never gets the stray answer.
         */
        @Test
        void isNotTheSecondAnswerToThePreviousRequest() {
            sendAndAccept(FIRST)
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
                            + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
            assertEquals("one", textOf(answerOf(FIRST)));
            Thread.ofVirtual().start(this::answerOnANewConnection);
            Outcome outcome = new Outcome.Unknown(UnknownReason.COPY_LOST, Step.COPY_WAIT, Optional.empty());
            for (int i = 0; outcome instanceof Outcome.Unknown; i++) {
                AttemptIdentifier attempt = new AttemptIdentifier(3, i);
                send(attempt, "POST");
                outcome = outcomeOf(attempt);
            }
            assertEquals(
                    "own",
                    textOf(assertInstanceOf(Outcome.Answered.class, outcome).content()));
        }

        private void answerOnANewConnection() {
            RawConnection connection = copy.accept();
            connection.readMessage();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
        }

        @Test
        void isGivenOnceIfAnAttemptIsSentTwice() {
            RawConnection connection = sendAndAccept(FIRST);
            send(FIRST, "POST");
            AdapterBench.await(() -> bench.counted("breaches", "at_most_once") == 1);
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
            assertEquals("one", textOf(answerOf(FIRST)));
            assertFalse(bench.inbox().ring().poll().isPresent());
        }
    }
}
