package org.carawaysill.protocol.link;

import static org.carawaysill.protocol.link.PeerLinkTest.exchange;
import static org.carawaysill.protocol.link.PeerLinkTest.heartbeat;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.protocol.codec.PeerMessageCodec;
import org.carawaysill.protocol.generated.Frame;
import org.carawaysill.protocol.generated.Hello;
import org.carawaysill.protocol.link.RecordingListener.Report;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Input that a broken or hostile process can send.
 *
 * <p>A broken process of the fleet, an operator's tool or a port scanner sends input that no node would send. Without
 * protection, the node's event loop fails or is overloaded, and every caller of its copy sees timeouts. Each test
 * therefore ends with a check that another connection is unaffected.
 */
@Timeout(120)
class HostileInputTest {

    private TestNode node;
    private TestNode otherPeer;

    @BeforeEach
    void start() {
        start(TestNode.LENIENT_LIMITS);
    }

    private void start(LinkLimits limits) {
        node = new TestNode("manifests-1", 1, limits);
        otherPeer = TestNode.start("tracker-9");
        otherPeer.connect(node);
    }

    @AfterEach
    void stop() {
        exchange(node, otherPeer, 1);
        assertEquals(0, node.losses(otherPeer.name));
        otherPeer.close();
        node.close();
    }

    private void restartWithShortGreetingLimit() {
        stop();
        start(TestNode.lenientLimits().greetingLimit(Duration.ofMillis(500)).build());
    }

    private void assertFaultAndClose(LinkFaultKind kind, RawPeer peer) throws IOException {
        node.listener.awaitFault(kind);
        peer.awaitClosed();
        assertTrue(node.link.counters().faults(kind) > 0);
        peer.close();
    }

    @Nested
    class DuringTheHandshake {

        private void assertRefused(LinkFaultKind kind, Frame first) throws IOException {
            RawPeer peer = RawPeer.dial(node);
            peer.write(first);
            assertEquals(kind.name(), peer.read().getRefused().getReason());
            assertFaultAndClose(kind, peer);
        }

        private Frame hello(UnaryOperator<Hello.Builder> change) {
            Hello.Builder hello = RawPeer.hello("tracker-1", 1).getHello().toBuilder();
            return Frame.newBuilder().setHello(change.apply(hello)).build();
        }

        @Test
        void anotherProtocolIsRefused() throws IOException {
            RawPeer peer = RawPeer.dial(node);
            peer.writeRaw("GET /status HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertFaultAndClose(LinkFaultKind.OVERSIZE, peer);
        }

        @Test
        void bytesThatAreNoFrameAreRefused() throws IOException {
            RawPeer peer = RawPeer.dial(node);
            peer.writeBytes(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff});
            assertFaultAndClose(LinkFaultKind.WRONG_MAGIC, peer);
        }

        @Test
        void invalidHellosAreRefusedWithTheReason() throws IOException {
            assertRefused(LinkFaultKind.WRONG_MAGIC, PeerMessageCodec.encode(heartbeat(1)));
            assertRefused(LinkFaultKind.WRONG_MAGIC, hello(hello -> hello.setMagic(1)));
            assertRefused(LinkFaultKind.WRONG_VERSION, hello(hello -> hello.setVersion(HelloValidator.VERSION + 1)));
            assertRefused(LinkFaultKind.MALFORMED, hello(hello -> hello.setNode(" ")));
            assertRefused(LinkFaultKind.MALFORMED, hello(hello -> hello.setIncarnation(-1)));
        }

        @Test
        void aServerThatSendsNoHelloIsDisconnectedAndDialledAgain() throws IOException {
            restartWithShortGreetingLimit();
            try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
                node.link.connect(new NodeName("tracker-1"), "127.0.0.1", silent.getLocalPort());
                RawPeer first = new RawPeer(silent.accept());
                assertFaultAndClose(LinkFaultKind.NO_HELLO, first);
                new RawPeer(silent.accept()).close();
            }
        }

        @Test
        void aConnectionWithoutAHelloIsClosed() throws IOException {
            restartWithShortGreetingLimit();
            assertFaultAndClose(LinkFaultKind.NO_HELLO, RawPeer.dial(node));
        }

        /** Guards against connections that say nothing, of which each occupies a descriptor until its time is over. */
        @Test
        void theOldestConnectionWithoutAHelloIsClosedForANewerOne() throws IOException {
            stop();
            start(TestNode.lenientLimits().maximumUnknown(2).build());
            RawPeer oldest = RawPeer.dial(node);
            RawPeer second = RawPeer.dial(node);
            RawPeer peer = RawPeer.completeHandshake(node, "tracker-1", 1);
            assertFaultAndClose(LinkFaultKind.NO_HELLO, oldest);
            peer.writeBytes(PeerMessageCodec.encode(heartbeat(5)).toByteArray());
            node.listener.await(new Report.Received(new NodeName("tracker-1"), heartbeat(5)));
            peer.close();
            second.close();
        }

        @Test
        void messagesSentWithTheHelloAreReceivedAfterTheHandshake() throws IOException {
            RawPeer peer = RawPeer.dial(node);
            byte[] hello = RawPeer.hello("tracker-1", 1).toByteArray();
            byte[] message = PeerMessageCodec.encode(heartbeat(5)).toByteArray();
            ByteBuffer both = ByteBuffer.allocate(2 * Integer.BYTES + hello.length + message.length);
            peer.writeRaw(both.putInt(hello.length)
                    .put(hello)
                    .putInt(message.length)
                    .put(message)
                    .array());
            node.listener.await(new Report.Received(new NodeName("tracker-1"), heartbeat(5)));
            peer.close();
        }
    }

    @Nested
    class AfterTheHandshake {

        @Test
        void anOversizeFrameClosesItsConnection() throws IOException {
            RawPeer peer = RawPeer.completeHandshake(node, "tracker-1", 1);
            peer.writeRaw(ByteBuffer.allocate(Integer.BYTES)
                    .putInt(TestNode.LENIENT_LIMITS.maximumFrameBytes() + 1)
                    .array());
            assertFaultAndClose(LinkFaultKind.OVERSIZE, peer);
        }

        @Test
        void aMalformedMessageClosesItsConnection() throws IOException {
            RawPeer peer = RawPeer.completeHandshake(node, "tracker-1", 1);
            peer.writeBytes(new byte[0]);
            LinkFault fault = node.listener.awaitFault(LinkFaultKind.MALFORMED);
            assertEquals(new NodeName("tracker-1"), fault.peer().orElseThrow());
            assertFaultAndClose(LinkFaultKind.MALFORMED, peer);
            node.listener.await(new Report.Lost(new NodeName("tracker-1")));
        }

        @Test
        void aSecondHelloClosesItsConnection() throws IOException {
            RawPeer peer = RawPeer.completeHandshake(node, "tracker-1", 1);
            peer.write(RawPeer.hello("tracker-9", 9));
            assertFaultAndClose(LinkFaultKind.MALFORMED, peer);
        }
    }

    @Nested
    class Fuzzing {

        private static final int ROUNDS = 300;

        @Test
        void randomBytesCloseOnlyTheirConnection() throws IOException {
            SplittableRandom random = new SplittableRandom(11);
            for (int i = 0; i < ROUNDS; i++) {
                byte[] bytes = new byte[1 + random.nextInt(200)];
                random.nextBytes(bytes);
                writeAndClose(RawPeer.dial(node), bytes);
            }
        }

        @Test
        void alteredFramesCloseOnlyTheirConnection() throws IOException {
            SplittableRandom random = new SplittableRandom(12);
            byte[] message = PeerMessageCodec.encode(heartbeat(7)).toByteArray();
            for (int i = 0; i < ROUNDS; i++) {
                byte[] altered = ByteBuffer.allocate(Integer.BYTES + message.length)
                        .putInt(message.length)
                        .put(message)
                        .array();
                altered[random.nextInt(altered.length)] ^= (byte) (1 << random.nextInt(Byte.SIZE));
                writeAndClose(RawPeer.completeHandshake(node, "tracker-1", i), altered);
            }
        }

        private void writeAndClose(RawPeer peer, byte[] bytes) throws IOException {
            try (peer) {
                peer.writeRaw(bytes);
            } catch (SocketException e) {
                // The node has already closed the connection.
            }
        }
    }
}
