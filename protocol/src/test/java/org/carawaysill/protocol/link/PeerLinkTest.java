package org.carawaysill.protocol.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.stream.LongStream;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.Heartbeat;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.protocol.generated.Frame;
import org.carawaysill.protocol.link.RecordingListener.Report;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class PeerLinkTest {

    private static final int ROUNDS = 20;

    static Heartbeat heartbeat(long sequence) {
        return new Heartbeat(sequence, new LoadReport(1, 2, 3, 4), Map.of());
    }

    static void exchange(TestNode a, TestNode b, long sequence) {
        a.send(b, heartbeat(sequence));
        b.listener.await(new Report.Received(a.name, heartbeat(sequence)));
        b.send(a, heartbeat(sequence));
        a.listener.await(new Report.Received(b.name, heartbeat(sequence)));
    }

    @Nested
    class Connecting {

        @Test
        void carriesMessagesBothWaysWhicheverSideDialled() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode b = TestNode.start("tracker-1");
                    TestNode c = TestNode.start("aaa-1")) {
                a.connect(b);
                a.connect(c);
                exchange(a, b, 1);
                exchange(a, c, 2);
                assertEquals(1, a.connections(b.name));
                assertEquals(1, a.connections(c.name));
            }
        }

        @Test
        void keepsTheOrderOfOneSender() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode b = TestNode.start("tracker-1")) {
                b.connect(a);
                List<PeerMessage> sent = LongStream.range(0, 5000)
                        .<PeerMessage>mapToObj(PeerLinkTest::heartbeat)
                        .toList();
                sent.forEach(message -> a.send(b, message));
                b.listener.await(_ -> b.listener.receivedMessages().size() == sent.size());
                assertEquals(sent, b.listener.receivedMessages());
            }
        }

        /**
         * Guards against lost messages when two nodes start at the same time: both dial, and if both were to select the
         * connection, each would use its own and close the other's. Messages sent in between would be lost, and
         * requests end as "unknown".
         */
        @Test
        void nodesThatDialEachOtherAtOnceLoseNothing() {
            for (int i = 0; i < ROUNDS; i++) {
                try (TestNode a = TestNode.start("manifests-1");
                        TestNode b = TestNode.start("tracker-1")) {
                    a.dial(b);
                    b.dial(a);
                    a.awaitConnected(b);
                    b.awaitConnected(a);
                    exchange(a, b, i);
                    assertEquals(1, a.connections(b.name));
                    assertEquals(1, b.connections(a.name));
                    assertEquals(0, a.losses(b.name) + b.losses(a.name));
                }
            }
        }

        @Test
        void dialsAgainUntilThePeerIsReachable() {
            try (TestNode a = TestNode.start("manifests-1")) {
                int port;
                try (TestNode gone = TestNode.start("tracker-1")) {
                    port = gone.port;
                    a.connect(gone);
                }
                a.listener.awaitFault(LinkFaultKind.UNREACHABLE);
                try (TestNode back = new TestNode("tracker-1", 2, TestNode.LENIENT_LIMITS, port)) {
                    back.awaitConnected(a);
                    a.listener.await(new Report.Connected(back.name, 2));
                    exchange(a, back, 1);
                }
            }
        }

        @Test
        void dialsTheNewAddressOfAPeer() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode gone = TestNode.start("tracker-1")) {
                gone.close();
                a.dial(gone);
                a.listener.awaitFault(LinkFaultKind.UNREACHABLE);
                try (TestNode moved = TestNode.start("tracker-1")) {
                    a.dial(moved);
                    a.awaitConnected(moved);
                }
            }
        }

        @Test
        void aPortInUseFailsTheStart() {
            try (TestNode a = TestNode.start("manifests-1")) {
                assertThrows(
                        CompletionException.class,
                        () -> new TestNode("manifests-2", 1, TestNode.LENIENT_LIMITS, a.port));
            }
        }
    }

    @Nested
    class CollidingNames {

        /**
         * Guards against calls to a VM that was replaced: the new VM has the same name, and the connection to the
         * paused old one still looks alive. The process that started later must replace it.
         */
        @Test
        void theNewerProcessReplacesTheOlder() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode older = new TestNode("tracker-1", 1, TestNode.LENIENT_LIMITS);
                    TestNode newer = new TestNode("tracker-1", 2, TestNode.LENIENT_LIMITS)) {
                older.connect(a);
                newer.connect(a);
                a.listener.await(new Report.Connected(newer.name, 2));
                a.listener.awaitFault(LinkFaultKind.REPLACED);
                older.listener.await(new Report.Lost(a.name));
                exchange(a, newer, 1);
                assertEquals(
                        List.of(
                                new Report.Connected(older.name, 1),
                                new Report.Lost(older.name),
                                new Report.Connected(newer.name, 2)),
                        a.listener.reports().stream()
                                .filter(report -> report instanceof Report.Connected || report instanceof Report.Lost)
                                .toList());
            }
        }

        @Test
        void theOlderProcessIsRefused() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode newer = new TestNode("tracker-1", 2, TestNode.LENIENT_LIMITS);
                    TestNode older = new TestNode("tracker-1", 1, TestNode.LENIENT_LIMITS)) {
                newer.connect(a);
                older.dial(a);
                a.listener.awaitFault(LinkFaultKind.OLDER_INCARNATION);
                LinkFault refusal = older.listener.awaitFault(LinkFaultKind.REFUSED_BY_PEER);
                assertTrue(refusal.detail().contains("OLDER_INCARNATION"), refusal.detail());
                exchange(a, newer, 1);
                assertEquals(0, older.connections(a.name));
                assertEquals(0, a.losses(newer.name));
            }
        }

        @Test
        void aSecondProcessOfTheSameNameAndStartTimeIsRefused() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode first = TestNode.start("tracker-1");
                    TestNode second = TestNode.start("tracker-1")) {
                first.connect(a);
                second.dial(a);
                a.listener.awaitFault(LinkFaultKind.DUPLICATE);
                second.listener.awaitFault(LinkFaultKind.REFUSED_BY_PEER);
                exchange(a, first, 1);
                assertEquals(0, second.connections(a.name));
                assertEquals(0, a.losses(first.name));
            }
        }

        /**
         * Guards against a node that stays unreachable for minutes after a partition heals: it has lost the old
         * connection and dials again, but this side has not noticed and refuses each new connection as a duplicate of
         * the dead one.
         */
        @Test
        void anUnresponsiveConnectionIsReplacedByANewOneOfTheSameProcess() throws IOException {
            LinkLimits limits =
                    TestNode.lenientLimits().probeLimit(Duration.ofMillis(300)).build();
            try (TestNode a = new TestNode("manifests-1", 1, limits);
                    RawPeer silent = RawPeer.completeHandshake(a, "tracker-1", 1);
                    TestNode b = TestNode.start("tracker-1")) {
                b.dial(a);
                a.listener.awaitFault(LinkFaultKind.DUPLICATE);
                assertEquals(Frame.KindCase.PROBE, silent.read().getKindCase());
                a.listener.awaitFault(LinkFaultKind.UNRESPONSIVE);
                b.awaitConnected(a);
                exchange(a, b, 1);
            }
        }

        @Test
        void aNodeRefusesAPeerWithItsOwnName() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode other = TestNode.start("manifests-1")) {
                a.link.connect(new NodeName("tracker-1"), "127.0.0.1", other.port);
                other.listener.awaitFault(LinkFaultKind.OWN_NAME);
            }
        }

        /**
         * Guards against requests that reach the wrong copy: the address of a removed VM is reused for a node with
         * another name, which is then dialled instead.
         */
        @Test
        void aNodeWithAnotherNameThanDialledIsDisconnected() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode b = TestNode.start("tracker-1")) {
                a.link.connect(new NodeName("tracker-9"), "127.0.0.1", b.port);
                a.listener.awaitFault(LinkFaultKind.WRONG_PEER);
                assertEquals(0, a.listener.of(Report.Connected.class).size());
            }
        }
    }

    @Nested
    class Blocking {

        @Test
        void blockedPeersStayConnectedButReceiveNothingUntilUnblocked() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode b = TestNode.start("tracker-1");
                    TestNode c = TestNode.start("tracker-2")) {
                a.connect(b);
                a.connect(c);
                a.link.block(Set.of(b.name));
                a.send(b, heartbeat(1));
                b.send(a, heartbeat(2));
                exchange(a, c, 3);
                a.listener.await(_ -> a.link.counters().blockedFrames() == 2);
                a.link.block(Set.of());
                exchange(a, b, 4);
                assertEquals(List.of(heartbeat(4)), heartbeatsFrom(a, b));
                assertEquals(List.of(heartbeat(4)), heartbeatsFrom(b, a));
                assertEquals(List.of(), a.listener.unsentMessages());
                assertEquals(0, a.losses(b.name) + b.losses(a.name));
            }
        }

        private List<PeerMessage> heartbeatsFrom(TestNode from, TestNode to) {
            return to.listener.of(Report.Received.class).stream()
                    .filter(report -> report.from().equals(from.name))
                    .map(Report.Received::message)
                    .toList();
        }

        @Test
        void aBlockedPeerCantConnect() {
            LinkLimits limits = TestNode.lenientLimits()
                    .greetingLimit(Duration.ofMillis(500))
                    .build();
            try (TestNode a = new TestNode("manifests-1", 1, limits);
                    TestNode b = new TestNode("tracker-1", 1, limits)) {
                a.link.block(Set.of(b.name));
                a.dial(b);
                b.dial(a);
                a.listener.awaitFault(LinkFaultKind.NO_HELLO);
                b.listener.awaitFault(LinkFaultKind.NO_HELLO);
                assertEquals(0, a.connections(b.name) + b.connections(a.name));
                a.link.block(Set.of());
                a.awaitConnected(b);
                b.awaitConnected(a);
            }
        }
    }
}
