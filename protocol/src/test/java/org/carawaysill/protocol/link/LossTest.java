package org.carawaysill.protocol.link;

import static org.carawaysill.protocol.link.PeerLinkTest.exchange;
import static org.carawaysill.protocol.link.PeerLinkTest.heartbeat;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.ConfigurationDocument;
import org.carawaysill.protocol.codec.PeerMessageCodec;
import org.carawaysill.protocol.codec.ProtocolFault;
import org.carawaysill.protocol.generated.Frame;
import org.carawaysill.protocol.link.RecordingListener.Report;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Verifies what happens to messages when connections end. */
@Timeout(120)
class LossTest {

    private static final NodeName PEER = new NodeName("tracker-1");

    /** Creates a large message that is identified by its version. */
    private static PeerMessage document(int version, int bytes) {
        return new ConfigurationDocument(new ServiceName("manifests"), version, "x".repeat(bytes));
    }

    private static List<Long> versions(List<PeerMessage> messages) {
        return messages.stream()
                .map(ConfigurationDocument.class::cast)
                .map(ConfigurationDocument::version)
                .toList();
    }

    @Nested
    class Unsent {

        @Test
        void messagesToAPeerWithoutConnectionAreReportedAsUnsent() {
            try (TestNode a = TestNode.start("manifests-1")) {
                a.link.send(PEER, heartbeat(1));
                a.listener.await(new Report.Unsent(PEER, heartbeat(1)));
            }
        }

        @Test
        void messagesToAClosedLinkAreReportedAsUnsent() {
            TestNode a = TestNode.start("manifests-1");
            a.close();
            a.link.send(PEER, heartbeat(1));
            assertEquals(List.of(heartbeat(1)), a.listener.unsentMessages());
        }

        @Test
        void anOversizeMessageIsReportedAsUnsentAndKeepsTheConnection() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode b = TestNode.start("tracker-1")) {
                a.connect(b);
                PeerMessage large = document(1, TestNode.LENIENT_LIMITS.maximumFrameBytes());
                a.send(b, large);
                a.listener.await(new Report.Unsent(b.name, large));
                a.listener.awaitFault(LinkFaultKind.OVERSIZE);
                exchange(a, b, 2);
            }
        }

        /**
         * Guards against a posting that runs twice: the peer freezes, the connection ends, and a request is reported as
         * unsent and retried at another copy, although it had been passed to the operating system and the peer runs it
         * when it resumes. A message of which the peer can still read a byte must not be reported as unsent; all others
         * must be.
         */
        @Test
        void noMessageReportedAsUnsentReachesAFrozenPeer() throws IOException, ProtocolFault {
            LinkLimits limits =
                    TestNode.lenientLimits().drainLimit(Duration.ofMillis(300)).build();
            try (TestNode a = new TestNode("manifests-1", 1, limits);
                    RawPeer frozen = RawPeer.completeHandshake(a, "tracker-1", 1)) {
                List<PeerMessage> sent = IntStream.range(0, 35)
                        .mapToObj(version -> document(version, 50_000))
                        .toList();
                sent.forEach(message -> a.link.send(PEER, message));
                assertEquals(
                        PEER,
                        a.listener.awaitFault(LinkFaultKind.SLOW_READER).peer().orElseThrow());
                a.listener.await(new Report.Lost(PEER));
                List<Long> all = versions(sent);
                ByteBuffer bytes = ByteBuffer.wrap(frozen.readAll());
                List<Long> arrived = versions(wholeMessages(bytes));
                int cutOff = bytes.hasRemaining() ? 1 : 0;
                List<Long> unsent = versions(a.listener.unsentMessages());
                assertFalse(arrived.isEmpty());
                assertFalse(unsent.isEmpty());
                assertEquals(all.subList(0, arrived.size()), arrived);
                assertEquals(all.subList(arrived.size() + cutOff, all.size()), unsent);
                assertEquals(new Report.Lost(PEER), a.listener.reports().getLast());
            }
        }

        /** Reads the complete messages from a buffer, and leaves the bytes after the last of them. */
        private List<PeerMessage> wholeMessages(ByteBuffer bytes) throws IOException, ProtocolFault {
            List<PeerMessage> messages = new ArrayList<>();
            while (bytes.remaining() > Integer.BYTES
                    && bytes.remaining() - Integer.BYTES >= bytes.getInt(bytes.position())) {
                byte[] frame = new byte[bytes.getInt()];
                bytes.get(frame);
                messages.add(PeerMessageCodec.decode(Frame.parseFrom(frame)));
            }
            return messages;
        }

        /**
         * Guards against a node that runs out of memory while one of its peers is frozen: messages to that peer would
         * accumulate for as long as the connection looks alive.
         */
        @Test
        void aPeerThatDoesNotReadGetsNoMoreThanTheHighWaterMark() throws IOException {
            LinkLimits limits =
                    TestNode.lenientLimits().highWaterMarkBytes(200_000).build();
            try (TestNode a = new TestNode("manifests-1", 1, limits);
                    RawPeer _ = RawPeer.completeHandshake(a, "tracker-1", 1)) {
                IntStream.range(0, 200).forEach(version -> a.link.send(PEER, document(version, 50_000)));
                a.listener.await(_ -> a.listener.unsentMessages().contains(document(199, 50_000)));
                assertEquals(0, a.losses(PEER));
            }
        }

        @Test
        void everyMessageIsDeliveredOrReportedAsUnsentWhenTheRingIsFull() {
            LinkLimits limits = TestNode.lenientLimits().ringCapacity(2).build();
            try (TestNode a = new TestNode("manifests-1", 1, limits);
                    TestNode b = TestNode.start("tracker-1")) {
                a.connect(b);
                int sent = 20_000;
                IntStream.range(0, sent).forEach(i -> a.send(b, heartbeat(i)));
                b.listener.await(_ -> b.listener.receivedMessages().size()
                                + a.listener.unsentMessages().size()
                        == sent);
                assertFalse(a.listener.unsentMessages().isEmpty());
            }
        }
    }

    @Nested
    class Lost {

        /**
         * Guards against a partial answer that reaches a caller: the peer dies while it writes a message, and the
         * received part is mistaken for the complete message.
         */
        @Test
        void aMessageCutInTheMiddleIsNotReceived() throws IOException {
            try (TestNode a = TestNode.start("manifests-1")) {
                RawPeer peer = RawPeer.completeHandshake(a, "tracker-1", 1);
                peer.write(PeerMessageCodec.encode(heartbeat(1)));
                byte[] frame = PeerMessageCodec.encode(document(2, 5000)).toByteArray();
                peer.writeRaw(new byte[] {0, 0, (byte) (frame.length >> 8), (byte) frame.length});
                peer.writeRaw(Arrays.copyOf(frame, 3000));
                a.listener.await(new Report.Received(PEER, heartbeat(1)));
                peer.close();
                a.listener.await(new Report.Lost(PEER));
                assertEquals(List.of(heartbeat(1)), a.listener.receivedMessages());
            }
        }

        @Test
        void connectedAndLostAlternate() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode b = TestNode.start("tracker-1")) {
                a.dial(b);
                b.dial(a);
                for (int i = 1; i <= 10; i++) {
                    int rounds = i;
                    a.listener.await(_ -> a.connections(b.name) == rounds && a.isConnected(b.name));
                    b.listener.await(_ -> b.connections(a.name) >= rounds && b.isConnected(a.name));
                    a.link.disconnect(b.name);
                    a.listener.await(_ -> a.losses(b.name) == rounds);
                    a.dial(b);
                }
                List<Report> turns = a.listener.reports().stream()
                        .filter(report -> report instanceof Report.Connected || report instanceof Report.Lost)
                        .toList();
                for (int i = 0; i < turns.size(); i++) {
                    assertEquals(i % 2 == 0, turns.get(i) instanceof Report.Connected);
                }
            }
        }
    }

    @Nested
    class Closing {

        /**
         * Guards against answers lost in a planned stop: the node passes its last answers to its link and closes it
         * immediately while the peer is still sending. The operating system would reset the connection and discard the
         * answers.
         */
        @Test
        void whatWasSentBeforeTheCloseArrives() {
            try (TestNode b = TestNode.start("tracker-1");
                    TestNode a = TestNode.start("manifests-1")) {
                a.connect(b);
                List<PeerMessage> answers = IntStream.range(0, 100)
                        .mapToObj(version -> document(version, 20_000))
                        .toList();
                answers.forEach(message -> {
                    b.send(a, message);
                    a.send(b, message);
                });
                a.link.disconnect(b.name);
                a.close();
                b.listener.await(new Report.Lost(a.name));
                assertEquals(versions(answers), versions(b.listener.receivedMessages()));
                assertEquals(List.of(), a.listener.unsentMessages());
            }
        }

        @Test
        void aDisconnectedPeerIsLostOnBothSidesAndNotDialledAgain() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode b = TestNode.start("tracker-1")) {
                a.connect(b);
                a.send(b, heartbeat(1));
                a.link.disconnect(b.name);
                a.listener.await(new Report.Lost(b.name));
                b.listener.await(new Report.Lost(a.name));
                assertEquals(List.of(heartbeat(1)), b.listener.receivedMessages());
                b.dial(a);
                b.awaitConnected(a);
                assertEquals(1, b.losses(a.name));
            }
        }
    }
}
