package org.carawaysill.node.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.carawaysill.model.fleet.ClientLimits;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.node.memory.MemoryAccount;
import org.carawaysill.node.testing.LoopBench;
import org.carawaysill.node.testing.RawConnection;
import org.carawaysill.policy.fleet.FleetEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What becomes of clients for whom there is not enough room. */
@Timeout(60)
class ClientRoomTest {

    private static final int MEMORY_BYTES = 300_000;
    private static final int BODY_BYTES = 100_000;
    private static final int CONNECTIONS = 20;
    private static final int LONG_HEAD_BYTES = 12_000;

    /** What a request with a long head takes on a connection of its own. */
    private static final int LONG_REQUEST_BYTES =
            ConnectionMemory.CONNECTION_BYTES + ConnectionMemory.REQUEST_BYTES + LONG_HEAD_BYTES + 100;

    private final LoopBench bench = new LoopBench();
    private final MemoryAccount memory = new MemoryAccount(MEMORY_BYTES, BODY_BYTES);
    private final EntryServer server = new EntryServer(
            bench.eventLoop(),
            new NetworkAddress("127.0.0.1", 0),
            LoopBench.DIALECT,
            memory,
            CONNECTIONS,
            bench::add,
            bench.registry());

    /** A connection that nothing refers to is closed by the garbage collector. */
    private final List<RawConnection> open = new ArrayList<>();

    @BeforeEach
    void start() {
        server.start().join();
        bench.onLoop(() -> server.limitClients(
                new ClientLimits(16_384, BODY_BYTES, Duration.ofSeconds(20), Duration.ofSeconds(20))));
    }

    @AfterEach
    void close() {
        bench.close();
    }

    private RawConnection send(String bytes) {
        RawConnection connection = RawConnection.to(server.port()).write(bytes);
        open.add(connection);
        return connection;
    }

    private static String get(String name, int lengthOfField) {
        return "GET / HTTP/1.1\r\nHost: f\r\nName: " + name + "\r\nField: " + "x".repeat(lengthOfField) + "\r\n\r\n";
    }

    private ExchangeIdentifier arrived(String name) {
        FleetEvent.RequestArrived request = bench.next(FleetEvent.RequestArrived.class);
        assertEquals(name, request.requestName());
        return request.exchange();
    }

    private void answer(ExchangeIdentifier exchange) {
        bench.onLoop(() ->
                server.answer(exchange, new Outcome.Answered(new AnswerContent(200, List.of(), Body.ofText("good")))));
    }

    /** Sends requests with long heads until one is refused, and returns the connection of that one. */
    private RawConnection fill(List<ExchangeIdentifier> accepted) {
        while (memory.hasRoomForLarge(LONG_REQUEST_BYTES)) {
            String name = "long" + accepted.size();
            send(get(name, LONG_HEAD_BYTES));
            accepted.add(arrived(name));
        }
        return send(get("refused", LONG_HEAD_BYTES));
    }

    @Nested
    class Connections {

        /** Guards against silent clients that keep others out. */
        @Test
        void beyondTheLimitReplaceTheOldestThatSentNoRequest() {
            RawConnection oldest = send("");
            for (int i = 1; i < CONNECTIONS; i++) {
                send("GET");
            }
            bench.awaitOnLoop(() -> server.connections().size() == CONNECTIONS);
            send(get("a", 1));
            answer(arrived("a"));
            assertTrue(open.getLast().readMessage().endsWith("good"));
            assertEquals("", oldest.readToEnd());
        }

        /** Guards against requests that were passed on and lose their connection to another client's. */
        @Test
        void withRequestsAreNotClosedForOthers() {
            List<ExchangeIdentifier> exchanges = new ArrayList<>();
            for (int i = 0; i < CONNECTIONS; i++) {
                send(get("a" + i, 1));
                exchanges.add(arrived("a" + i));
            }
            RawConnection surplus = RawConnection.to(server.port());
            assertEquals("", surplus.readToEnd());
            exchanges.forEach(ClientRoomTest.this::answer);
            open.forEach(connection -> assertTrue(connection.readMessage().endsWith("good")));
        }
    }

    @Nested
    class Requests {

        /** Guards against heads that wait with their requests until they fill the memory. */
        @Test
        void withLongHeadsAreRefusedOnConnectionsThatStayUsable() {
            List<ExchangeIdentifier> accepted = new ArrayList<>();
            RawConnection refused = fill(accepted);
            String refusal = refused.readMessage();
            accepted.forEach(ClientRoomTest.this::answer);
            assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
            assertTrue(refusal.toLowerCase(Locale.ROOT).contains("retry-after: 0.5"), refusal);
            refused.write(get("again", LONG_HEAD_BYTES));
            answer(arrived("again"));
            assertTrue(refused.readMessage().endsWith("good"));
        }

        /** Guards against large requests that leave no room for those of usual clients. */
        @Test
        void ofUsualSizeAreServedBesideLongHeads() {
            fill(new ArrayList<>());
            RawConnection usual = send(get("usual", 1));
            answer(arrived("usual"));
            assertTrue(usual.readMessage().endsWith("good"));
        }

        /** Guards against requests that are passed on although the refusal in front of them closes their connection. */
        @Test
        void behindARefusalThatClosesTheConnectionAreNotPassedOn() {
            String tooLarge = "POST / HTTP/1.1\r\nHost: f\r\nName: a\r\nContent-Length: " + 2 * BODY_BYTES + "\r\n\r\n";
            RawConnection connection = send(tooLarge + "x".repeat(2 * BODY_BYTES) + get("behind", 1));
            assertTrue(connection.readMessage().startsWith("HTTP/1.1 413"));
            bench.awaitOnLoop(() -> true);
            assertTrue(bench.hasNone());
        }

        /** Guards against clients that leave while the node waits before it takes more of their requests. */
        @Test
        void ofClientsThatLeaveAreEndedAndLeaveNothingBehind() {
            List<ExchangeIdentifier> accepted = new ArrayList<>();
            fill(accepted);
            answer(accepted.getFirst());
            open.forEach(RawConnection::close);
            bench.awaitOnLoop(() -> memory.held() == 0);
        }

        /** Guards against a client that sends many requests in a row, which fill the memory alone. */
        @Test
        void behindLongHeadsWaitForTheirAnswers() {
            RawConnection connection =
                    send(get("first", LONG_HEAD_BYTES) + get("second", LONG_HEAD_BYTES) + get("third", 1));
            ExchangeIdentifier first = arrived("first");
            ExchangeIdentifier second = arrived("second");
            bench.awaitOnLoop(() -> true);
            assertTrue(bench.hasNone());
            answer(first);
            answer(second);
            answer(arrived("third"));
            assertTrue(connection.readMessage().endsWith("good"));
            assertTrue(connection.readMessage().endsWith("good"));
            assertTrue(connection.readMessage().endsWith("good"));
        }
    }
}
