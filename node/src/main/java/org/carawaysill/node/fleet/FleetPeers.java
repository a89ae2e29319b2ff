package org.carawaysill.node.fleet;

import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.node.memory.MemoryFaults;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.observation.UnwrittenGauge;
import org.carawaysill.node.peer.LinkFaultLog;
import org.carawaysill.node.peer.LinkMetrics;
import org.carawaysill.policy.fleet.FleetEvent;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.protocol.link.LinkFault;
import org.carawaysill.protocol.link.LinkFaultKind;
import org.carawaysill.protocol.link.LinkLimits;
import org.carawaysill.protocol.link.PeerLink;
import org.carawaysill.protocol.link.PeerListener;

/**
 * Connects the link between nodes to the policy of a fleet node.
 *
 * <p>Thread safe.
 */
public final class FleetPeers implements Service, PeerListener {

    /** The name under which the service is registered. */
    public static final String NAME = "fleet-peers";

    /** Fits a body of the size that copies send, with its headers; a larger frame is rejected as not sent. */
    private static final int MAXIMUM_FRAME_BYTES = 20 * 1024 * 1024;

    private static final Duration SHORTEST_REDIAL = Duration.ofMillis(50);

    /** Kept short, since a restarted node that can't read the platform knows no peers until one connects to it. */
    private static final Duration LONGEST_REDIAL = Duration.ofMillis(500);

    private static final Duration CONNECT_LIMIT = Duration.ofMillis(1000);

    private final PeerLink link;
    private final int port;
    private final FleetLoop loop;
    private final LinkFaultLog faults = new LinkFaultLog();
    private final MemoryFaults memoryFaults;

    FleetPeers(FleetNodeSettings settings, long incarnation, EventLoop eventLoop, ServiceRegistry registry) {
        this.loop = registry.require(FleetLoop.NAME, FleetLoop.class);
        memoryFaults = registry.require(MemoryFaults.NAME, MemoryFaults.class);
        this.port = settings.peer().port();
        this.link = PeerLink.builder()
                .self(settings.policy().self())
                .service(settings.policy().service())
                .incarnation(incarnation)
                .host(settings.peer().host())
                .port(port)
                .eventLoop(eventLoop)
                .limits(LinkLimits.builder()
                        .maximumFrameBytes(MAXIMUM_FRAME_BYTES)
                        .maximumUnknown(
                                DescriptorShares.of(settings.descriptors()).unknownNodes())
                        .connectLimit(CONNECT_LIMIT)
                        .redial(SHORTEST_REDIAL, LONGEST_REDIAL)
                        .build())
                .listener(this)
                .build();
        PrometheusRegistry metrics =
                registry.require(Counters.NAME, Counters.class).registry();
        LinkMetrics.register(link.counters(), metrics);
        UnwrittenGauge.register(metrics, "link_unwritten", "other nodes", link::unwritten);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        return link.start().thenApply(_ -> null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        link.close();
        return CompletableFuture.completedFuture(null);
    }

    void send(NodeName peer, PeerMessage message) {
        link.send(peer, message);
    }

    /** Keeps a connection open to a node, whose name is the IP address of its VM. */
    void connect(NodeName peer) {
        link.connect(peer, peer.value(), port);
    }

    void disconnect(NodeName peer) {
        link.disconnect(peer);
    }

    void reset(NodeName peer) {
        link.reset(peer, "no report in time");
    }

    /** Returns the answers that connections to other nodes have not written yet. */
    UnwrittenAnswers unwritten() {
        return link.unwritten();
    }

    @Override
    public void connected(NodeName peer, long incarnation) {
        faults.clear(peer);
        loop.submit(new FleetEvent.PeerConnected(peer, incarnation));
    }

    @Override
    public void lost(NodeName peer) {
        loop.submit(new FleetEvent.PeerLost(peer));
    }

    @Override
    public void received(NodeName from, PeerMessage message) {
        loop.submit(new FleetEvent.PeerReceived(from, message));
    }

    @Override
    public void unsent(NodeName peer, PeerMessage message) {
        loop.submit(new FleetEvent.PeerUnsent(peer, message));
    }

    @Override
    public void fault(LinkFault fault) {
        faults.record(fault);
        if (fault.kind() == LinkFaultKind.OUT_OF_MEMORY) {
            memoryFaults.outOfMemory(fault.detail());
        }
    }
}
