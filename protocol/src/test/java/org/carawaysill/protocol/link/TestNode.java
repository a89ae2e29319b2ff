package org.carawaysill.protocol.link;

import java.time.Duration;
import java.util.SplittableRandom;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.protocol.link.RecordingListener.Report;

/** A started link on loopback, with a record of its events. */
final class TestNode implements AutoCloseable {

    /** Limits that are not reached by accident on a busy machine; only the redial delays are short. */
    static final LinkLimits LENIENT_LIMITS = lenientLimits().build();

    private static final long SEED = 7;

    final NodeName name;
    final RecordingListener listener = new RecordingListener();
    final PeerLink link;
    final int port;

    TestNode(String name, long incarnation, LinkLimits limits) {
        this(name, incarnation, limits, 0);
    }

    TestNode(String name, long incarnation, LinkLimits limits, int port) {
        this.name = new NodeName(name);
        link = PeerLink.builder()
                .self(this.name)
                .service(new ServiceName("manifests"))
                .incarnation(incarnation)
                .host("127.0.0.1")
                .port(port)
                .limits(limits)
                .listener(listener)
                .random(new SplittableRandom(SEED))
                .build();
        this.port = link.start().join();
    }

    static LinkLimits.Builder lenientLimits() {
        Duration limit = Duration.ofSeconds(30);
        return LinkLimits.builder()
                .greetingLimit(limit)
                .drainLimit(limit)
                .probeLimit(limit)
                .closingLimit(Duration.ofSeconds(10))
                .redial(Duration.ofMillis(5), Duration.ofMillis(50));
    }

    static TestNode start(String name) {
        return new TestNode(name, 1, LENIENT_LIMITS);
    }

    void dial(TestNode peer) {
        link.connect(peer.name, "127.0.0.1", peer.port);
    }

    void connect(TestNode peer) {
        dial(peer);
        awaitConnected(peer);
        peer.awaitConnected(this);
    }

    void awaitConnected(TestNode peer) {
        listener.await(_ -> isConnected(peer.name));
    }

    boolean isConnected(NodeName peer) {
        return connections(peer) > losses(peer);
    }

    long connections(NodeName peer) {
        return listener.of(Report.Connected.class).stream()
                .filter(report -> report.peer().equals(peer))
                .count();
    }

    long losses(NodeName peer) {
        return listener.of(Report.Lost.class).stream()
                .filter(report -> report.peer().equals(peer))
                .count();
    }

    void send(TestNode peer, PeerMessage message) {
        link.send(peer.name, message);
    }

    @Override
    public void close() {
        link.close();
    }
}
