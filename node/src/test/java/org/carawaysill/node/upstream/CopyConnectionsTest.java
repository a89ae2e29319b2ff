package org.carawaysill.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
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
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(120)
class CopyConnectionsTest {

    /** The time in which what one side does to a connection reaches the other side on the same machine. */
    private static final Duration ARRIVAL = Duration.ofMillis(50);

    private static final long ANSWER_MEMORY = 4L * 1024 * 1024;
    private static final int MAXIMUM_CONNECTIONS = 20;

    private final LoopBench bench = new LoopBench();
    private final RawCopy copy = new RawCopy();
    private final CopyConnections connections = new CopyConnections(
            bench.eventLoop(),
            copy.address(),
            LoopBench.DIALECT,
            ANSWER_MEMORY,
            MAXIMUM_CONNECTIONS,
            bench::add,
            bench.registry());
    private long attempts;

    @AfterEach
    void close() {
        bench.close();
        copy.close();
    }

    private AttemptIdentifier send(String name) {
        return send(name, Duration.ofSeconds(20));
    }

    private AttemptIdentifier send(String name, Duration timeout) {
        FleetEffect.SendToCopy request = request(name, timeout);
        bench.onLoop(() -> connections.send(request));
        return request.attempt();
    }

    private FleetEffect.SendToCopy request(String name, Duration timeout) {
        return new FleetEffect.SendToCopy(
                new AttemptIdentifier(0, ++attempts),
                new CopyName("copy-1"),
                new ServiceName("front"),
                Optional.of(new OrganisationName("agents")),
                name,
                new RequestContent(
                        "POST",
                        "/bills/" + name,
                        List.of(new Header("Authorization", "Token secret"), new Header("organisation", "forged")),
                        Body.ofText("body of " + name)),
                System.nanoTime() + timeout.toNanos());
    }

    /** Waits until a connection that has just been released may carry the next request. */
    private void awaitRest() {
        bench.onLoop(() -> {});
        LoopBench.pause(CopyConnections.REST.plusMillis(1));
    }

    private Outcome outcome(AttemptIdentifier attempt) {
        FleetEvent.CopyAnswered answered = bench.next(FleetEvent.CopyAnswered.class);
        assertEquals(attempt, answered.attempt());
        return answered.outcome();
    }

    private static String answer(String name, String body) {
        return "HTTP/1.1 200 OK\r\nName: " + name + "\r\nSeal: s\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    private void expectGood(AttemptIdentifier attempt, String body) {
        Outcome.Answered answered = assertInstanceOf(Outcome.Answered.class, outcome(attempt));
        assertEquals(Body.ofText(body), answered.content().body());
    }

    private void expectUnknown(AttemptIdentifier attempt) {
        assertInstanceOf(Outcome.Unknown.class, outcome(attempt));
    }

    private void expectNotRun(AttemptIdentifier attempt, RefusalReason reason) {
        assertEquals(
                reason, assertInstanceOf(Outcome.NotRun.class, outcome(attempt)).reason());
    }

    @Nested
    class Requests {

        /** Guards against passing to a copy a key, or an organisation that the client made up. */
        @Test
        void containTheOrganisationAndNeverAKey() {
            send("a");
            String request = copy.accept().readMessage();
            assertTrue(request.contains("Organisation: agents\r\n"), request);
            assertFalse(request.contains("forged"), request);
            assertFalse(request.contains("secret"), request);
        }

        @Test
        void containTheCopyTheCallerAndTheRemainingTime() {
            AttemptIdentifier attempt = send("a");
            RawConnection connection = copy.accept();
            String request = connection.readMessage();
            assertTrue(request.startsWith("POST /bills/a HTTP/1.1\r\n"), request);
            assertTrue(request.contains("copy: copy-1\r\n") || request.contains("Copy: copy-1\r\n"), request);
            assertTrue(request.contains("Caller: front\r\n"), request);
            assertTrue(request.contains("Name: a\r\n"), request);
            assertTrue(request.matches("(?s).*Patience: 19\\d\\d\\d\r\n.*"), request);
            assertTrue(request.endsWith("body of a"), request);
            connection.write(answer("a", "good"));
            expectGood(attempt, "good");
        }

        @Test
        void reuseAConnection() {
            AttemptIdentifier first = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            connection.write(answer("a", "one"));
            expectGood(first, "one");
            awaitRest();
            AttemptIdentifier second = send("b");
            connection.readMessage();
            connection.write(answer("b", "two"));
            expectGood(second, "two");
        }

        /*
         * A process is paused between the decision and the write, and resumes after its client has left. A request
         * written then would run although no client waits for it.
         */
        @Test
        void areNotWrittenAfterTheirDeadline() {
            expectNotRun(send("a", Duration.ofMillis(-1)), RefusalReason.DEADLINE);
        }
    }

    @Nested
    class Crashes {

        private AttemptIdentifier firstOfTwo;
        private RawConnection firstConnection;
        private AttemptIdentifier secondOfTwo;
        private RawConnection secondConnection;

        /** Sends two requests to the copy, each on its own connection. */
        private void sendTwo() {
            firstOfTwo = send("a");
            firstConnection = copy.accept();
            firstConnection.readMessage();
            secondOfTwo = send("b");
            secondConnection = copy.accept();
            secondConnection.readMessage();
        }

        /*
         * A copy's process ends while it runs two requests. Each used to be reported as a lost answer, as after a reset,
         * and was sent to the next copy; it was unknown that both had been in flight together.
         */
        @Test
        void areReportedWithAllRequestsInFlight() {
            sendTwo();
            copy.close();
            firstConnection.close();
            secondConnection.close();
            FleetEvent.CopyCrashed crashed = bench.next(FleetEvent.CopyCrashed.class);
            assertEquals(Set.of(firstOfTwo, secondOfTwo), Set.copyOf(crashed.attempts()));
            assertTrue(bench.hasNone());
        }

        /*
         * A copy's process ends while its listening socket stays open for some milliseconds, or permanently if a
         * supervisor holds it. A new connection is accepted, and the crash would look like resets of all connections.
         */
        @Test
        void areDetectedWhileTheAddressStillAcceptsConnections() {
            sendTwo();
            firstConnection.close();
            secondConnection.close();
            FleetEvent.CopyCrashed crashed = bench.next(FleetEvent.CopyCrashed.class);
            assertEquals(Set.of(firstOfTwo, secondOfTwo), Set.copyOf(crashed.attempts()));
        }

        /** Another process listens at once; the requests that it has accepted continue. */
        @Test
        void doNotEndRequestsOfTheNextProcess() {
            sendTwo();
            firstConnection.close();
            secondConnection.close();
            copy.accept();
            AttemptIdentifier third = send("c");
            RawConnection thirdConnection = copy.accept();
            thirdConnection.readMessage();
            FleetEvent.CopyCrashed crashed = bench.next(FleetEvent.CopyCrashed.class);
            assertEquals(Set.of(firstOfTwo, secondOfTwo), Set.copyOf(crashed.attempts()));
            thirdConnection.write(answer("c", "three"));
            expectGood(third, "three");
        }

        /** One of two connections ends, and the copy continues on the other one. */
        @Test
        void areNotReportedWhenOneOfSeveralConnectionsEnds() {
            sendTwo();
            firstConnection.close();
            expectUnknown(firstOfTwo);
            secondConnection.write(answer("b", "two"));
            expectGood(secondOfTwo, "two");
        }

        /** A leaving copy stops listening and one of its connections ends; its other requests must continue. */
        @Test
        void areNotReportedWhenTheCopyStopsListening() {
            sendTwo();
            copy.close();
            firstConnection.close();
            expectUnknown(firstOfTwo);
            secondConnection.write(answer("b", "two"));
            expectGood(secondOfTwo, "two");
        }

        /** Guards against blaming a request for a crash when a leaving copy resets one of several connections. */
        @Test
        void areNotReportedWhileAnIdleConnectionIsOpen() {
            sendTwo();
            secondConnection.write(answer("b", "two"));
            expectGood(secondOfTwo, "two");
            copy.close();
            firstConnection.reset();
            expectUnknown(firstOfTwo);
        }

        /** A copy that still accepts connections has not ended; the probe's connection carries the next request. */
        @Test
        void areNotReportedWhenTheCopyAcceptsANewConnection() {
            AttemptIdentifier first = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            connection.close();
            expectUnknown(first);
            RawConnection other = copy.accept();
            AttemptIdentifier second = send("b");
            other.readMessage();
            other.write(answer("b", "two"));
            expectGood(second, "two");
        }

        /** Guards against blaming a request for a crash because this side closed the other connections meanwhile. */
        @Test
        void areNotReportedWhenThisSideClosesTheOtherConnections() {
            sendTwo();
            secondConnection.write(answer("b", "two"));
            expectGood(secondOfTwo, "two");
            firstConnection.reset();
            LoopBench.pause(Duration.ofMillis(3));
            bench.onLoop(connections::closeIdle);
            expectUnknown(firstOfTwo);
        }

        /** Guards against reporting the end of this node's process as a crash of its copy. */
        @Test
        void areNotReportedWhenThisNodeStops() {
            sendTwo();
            connections.stop().join();
            LoopBench.pause(Duration.ofMillis(100));
            bench.onLoop(() -> {});
            assertTrue(bench.hasNone());
        }

        @Test
        void leaveOutCancelledRequests() {
            AttemptIdentifier first = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            bench.onLoop(() -> connections.cancel(first));
            copy.close();
            AttemptIdentifier second = send("b");
            expectNotRun(second, RefusalReason.COPY_UNREACHABLE);
        }
    }

    @Nested
    class FaultyCopies {

        /*
         * A copy sends a second, late answer to a request while the answer to the next request is due. Teller B would
         * read teller A's balance.
         */
        @Test
        void repeatTheAnswerToAnEarlierRequest() {
            AttemptIdentifier first = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            connection.write(answer("a", "one"));
            expectGood(first, "one");
            awaitRest();
            AttemptIdentifier second = send("b");
            connection.readMessage();
            connection.write(answer("a", "one"));
            connection.write(answer("b", "two"));
            expectGood(second, "two");
            send("c");
            copy.accept().readMessage();
        }

        /** Bytes after a complete answer belong to no request, so the connection carries no further one. */
        @ParameterizedTest
        @ValueSource(strings = {"garbage", "HTTP/1.1 200 OK\r\nName: a\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"})
        void sendMoreThanTheAnswer(String more) {
            AttemptIdentifier first = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            connection.write(answer("a", "one") + more);
            expectGood(first, "one");
            AttemptIdentifier second = send("b");
            RawConnection other = copy.accept();
            other.readMessage();
            other.write(answer("b", "two"));
            expectGood(second, "two");
        }

        /** Guards against ending a request that the copy runs because of bytes that follow the previous answer. */
        @ParameterizedTest
        @ValueSource(strings = {"garbage", "garbage\r\n\r\n"})
        void sendMoreShortlyAfterTheAnswer(String more) {
            AttemptIdentifier first = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            connection.write(answer("a", "one"));
            expectGood(first, "one");
            AttemptIdentifier second = send("b");
            connection.write(more);
            RawConnection other = copy.accept();
            other.readMessage();
            other.write(answer("b", "two"));
            expectGood(second, "two");
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "garbage\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nName: a\r\nContent-Length: 3\r\n\r\none",
                    "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 3\r\n\r\none",
                    "HTTP/1.1 200 OK\r\nName: a\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\none",
                    "HTTP/1.1 200 OK\r\nName: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
                })
        void sendInvalidAnswers(String bytes) {
            AttemptIdentifier attempt = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            connection.write(bytes);
            expectUnknown(attempt);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "HTTP/1.1 200 OK\r\nName: a\r\nSeal: s\r\nContent-Length: 30\r\n\r\none",
                    "HTTP/1.1 200 OK\r\nName: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n"
                })
        void closeBeforeTheAnswerIsComplete(String bytes) {
            AttemptIdentifier attempt = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            connection.write(bytes);
            connection.close();
            expectUnknown(attempt);
        }

        @Test
        void endAnAnswerWithoutLengthByClosing() {
            AttemptIdentifier attempt = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            connection.write("HTTP/1.1 200 OK\r\nName: a\r\nSeal: s\r\n\r\none");
            connection.close();
            expectGood(attempt, "one");
        }

        /*
         * A copy's connection is reset in the middle of an answer without length. The client would take half of a
         * statement for the whole.
         */
        @Test
        void resetAnAnswerWithoutLength() {
            AttemptIdentifier attempt = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            connection.write("HTTP/1.1 200 OK\r\nName: a\r\nSeal: s\r\n\r\none");
            connection.reset();
            expectUnknown(attempt);
        }
    }

    @Nested
    class IdleConnections {

        /** Sends a request in the same turn of the event loop in which something happens to the only idle connection. */
        private AttemptIdentifier sendUponAnEventOf(Consumer<RawConnection> event) {
            AttemptIdentifier first = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            connection.write(answer("a", "one"));
            expectGood(first, "one");
            awaitRest();
            FleetEffect.SendToCopy second = request("b", Duration.ofSeconds(20));
            bench.onLoop(() -> {
                event.accept(connection);
                LoopBench.pause(ARRIVAL);
                connections.send(second);
            });
            return second.attempt();
        }

        private void expectGoodOnANewConnection(AttemptIdentifier attempt) {
            RawConnection other = copy.accept();
            other.readMessage();
            other.write(answer("b", "two"));
            expectGood(attempt, "two");
        }

        /** Guards against reporting a request as possibly run that met a connection which the copy had closed before. */
        @Test
        void thatTheCopyClosesCarryNoRequest() {
            expectGoodOnANewConnection(sendUponAnEventOf(RawConnection::close));
        }

        @Test
        void thatTheCopyResetsCarryNoRequest() {
            expectGoodOnANewConnection(sendUponAnEventOf(RawConnection::reset));
        }

        @Test
        void withUnreadBytesCarryNoRequest() {
            expectGoodOnANewConnection(sendUponAnEventOf(connection -> connection.write("garbage")));
        }
    }

    @Nested
    class RestingConnections {

        /** Guards against more connections than the copy accepts, which resets the requests on those beyond its maximum. */
        @Test
        void areUsedBeforeTheirTimeIfManyRest() {
            int many = CopyConnections.SPARE_RESTING + 1;
            List<RawConnection> accepted = new ArrayList<>();
            for (int i = 0; i < many; i++) {
                send("a");
                accepted.add(copy.accept());
                accepted.getLast().readMessage();
            }
            accepted.forEach(connection -> connection.write(answer("a", "one")));
            accepted.forEach(_ -> bench.next(FleetEvent.CopyAnswered.class));
            send("b");
            LoopBench.pause(ARRIVAL);
            bench.onLoop(() -> assertEquals(many, connections.open().size()));
        }

        /** Guards against connections to the copy that use up the descriptors of the process. */
        @Test
        void areUsedBeforeTheirTimeIfNoMoreMayBeOpened() {
            // A connection that nothing refers to is closed by the garbage collector.
            List<RawConnection> all = new ArrayList<>();
            for (int i = 0; i < MAXIMUM_CONNECTIONS; i++) {
                all.add(sendAndAccept());
            }
            expectNotRun(send("a"), RefusalReason.COPY_UNREACHABLE);
            all.getFirst().write(answer("a", "one"));
            bench.next(FleetEvent.CopyAnswered.class);
            bench.onLoop(() -> {});
            send("b");
            assertTrue(all.getFirst().readMessage().contains("/bills/b"));
        }

        private RawConnection sendAndAccept() {
            send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            return connection;
        }
    }

    @Nested
    class Refusals {

        @ParameterizedTest
        @ValueSource(strings = {"503 Full\r\nNot-Run: 1", "421 Misdirected\r\nInstance: x", "429 Many\r\nNot-Run: 1"})
        void ofTheCopyMeanThatItDidNotRun(String status) {
            AttemptIdentifier attempt = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            connection.write("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
            expectNotRun(attempt, RefusalReason.COPY_REFUSED);
        }

        @Test
        void ofTheConnectionMeanThatItDidNotRun() {
            copy.close();
            expectNotRun(send("a"), RefusalReason.COPY_UNREACHABLE);
        }
    }

    @Nested
    class Cancelling {

        @Test
        void closesTheConnectionWithoutAnEvent() {
            AttemptIdentifier attempt = send("a");
            RawConnection connection = copy.accept();
            connection.readMessage();
            bench.onLoop(() -> connections.cancel(attempt));
            assertEquals("", connection.readToEnd());
            assertTrue(bench.hasNone());
        }
    }
}
