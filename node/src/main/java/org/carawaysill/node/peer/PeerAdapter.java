package org.carawaysill.node.peer;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.carawaysill.kernel.ring.OfferResult;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.model.settings.NodeSettings;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.observation.LostMessage;
import org.carawaysill.node.policy.PolicyInbox;
import org.carawaysill.node.policy.StatusBoard;
import org.carawaysill.policy.effect.NodeStatus;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.protocol.link.LinkFault;
import org.carawaysill.protocol.link.LinkLimits;
import org.carawaysill.protocol.link.PeerLink;
import org.carawaysill.protocol.link.PeerListener;

/**
 * Connects the link between nodes to the policy.
 *
 * <p>Invariant: events that finish work or report connections always reach the policy; a request is refused at once if
 * the ring is full, and any other message is then dropped and counted. Thread safe.
 */
public final class PeerAdapter implements Service, PeerListener {

    /** The name under which the service is registered. */
    public static final String NAME = "peers";

    private static final Duration RING_FULL_RETRY_AFTER = Duration.ofMillis(500);

    /** Frame bytes besides headers and body. */
    private static final int FRAME_MARGIN_BYTES = 64 * 1024;

    /** Documents of a megabyte must fit, whatever the limit for bodies is. */
    private static final int MINIMUM_FRAME_LIMIT_BYTES = 2 * 1024 * 1024;

    private final PeerLink link;

    private final PolicyInbox inbox;

    private final Counters counters;

    private final StatusBoard board;

    private final LinkFaultLog faults = new LinkFaultLog();

    /**
     * Creates the adapter, which doesn't listen yet.
     *
     * @param settings the node's settings
     * @param incarnation start time of the process, in milliseconds since 1970
     * @param registry provides the inbox, the counters and the status board
     */
    public PeerAdapter(NodeSettings settings, long incarnation, ServiceRegistry registry) {
        this.inbox = registry.require(PolicyInbox.NAME, PolicyInbox.class);
        this.counters = registry.require(Counters.NAME, Counters.class);
        this.board = registry.require(StatusBoard.NAME, StatusBoard.class);
        this.link = PeerLink.builder()
                .self(settings.node())
                .service(settings.service())
                .incarnation(incarnation)
                .host(settings.addresses().peer().host())
                .port(settings.addresses().peer().port())
                .limits(limits(settings))
                .listener(this)
                .build();
        LinkMetrics.register(link.counters(), counters.registry());
    }

    private static LinkLimits limits(NodeSettings settings) {
        int content = settings.limits().maximumBodyBytes() + settings.limits().maximumHeaderBytes();
        return LinkLimits.builder()
                .maximumFrameBytes(Math.max(MINIMUM_FRAME_LIMIT_BYTES, content + FRAME_MARGIN_BYTES))
                .build();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        return link.start().thenApply(port -> null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        return CompletableFuture.runAsync(link::close);
    }

    /**
     * Keeps a connection open to a node.
     *
     * @param peer the node
     * @param host its IP address
     * @param port its port for other nodes
     */
    public void connect(NodeName peer, String host, int port) {
        link.connect(peer, host, port);
    }

    /**
     * Closes the connection to a node.
     *
     * @param peer the node
     */
    public void disconnect(NodeName peer) {
        link.disconnect(peer);
    }

    /**
     * Sends a message.
     *
     * @param peer the node
     * @param message the message
     */
    public void send(NodeName peer, PeerMessage message) {
        link.send(peer, message);
    }

    /**
     * Drops all traffic from and to some nodes, for tests of partitions.
     *
     * @param peers the nodes, which replace those of earlier calls
     */
    public void block(Set<NodeName> peers) {
        link.block(peers);
    }

    @Override
    public void connected(NodeName peer, long incarnation) {
        faults.clear(peer);
        inbox.deliver(new Event.PeerConnected(peer, incarnation));
    }

    @Override
    public void lost(NodeName peer) {
        inbox.deliver(new Event.PeerLost(peer));
    }

    @Override
    public void received(NodeName from, PeerMessage message) {
        Event event = new Event.PeerReceived(from, message);
        switch (message) {
            case PeerMessage.PeerRequest request -> offerRequest(from, request, event);
            case PeerMessage.PeerAnswer ignored -> inbox.deliver(event);
            case PeerMessage.CancelAttempt ignored -> inbox.deliver(event);
            case PeerMessage.DrainNotice ignored -> inbox.deliver(event);
            case PeerMessage.HolderHandover ignored -> inbox.deliver(event);
            case PeerMessage.Heartbeat ignored -> offerNotice(event);
            case PeerMessage.LeaseRequest ignored -> offerNotice(event);
            case PeerMessage.LeaseReply ignored -> offerNotice(event);
            case PeerMessage.ConfigurationWanted ignored -> offerNotice(event);
            case PeerMessage.ConfigurationDocument ignored -> offerNotice(event);
            case PeerMessage.ConfigurationChange ignored -> offerNotice(event);
            case PeerMessage.CopyRequest ignored -> offerNotice(event);
            case PeerMessage.CopyAnswer ignored -> offerNotice(event);
            case PeerMessage.NodeReport ignored -> offerNotice(event);
            case PeerMessage.ReportWanted ignored -> offerNotice(event);
            case PeerMessage.GroupSummary ignored -> offerNotice(event);
            case PeerMessage.FleetSummary ignored -> offerNotice(event);
            case PeerMessage.EntriesWanted ignored -> offerNotice(event);
            case PeerMessage.Entries ignored -> offerNotice(event);
            case PeerMessage.Suspicions ignored -> offerNotice(event);
            case PeerMessage.PlaceGranted ignored -> inbox.deliver(event);
            case PeerMessage.AttemptBody ignored -> inbox.deliver(event);
            case PeerMessage.WithdrawAttempt ignored -> inbox.deliver(event);
        }
    }

    private void offerRequest(NodeName from, PeerMessage.PeerRequest request, Event event) {
        if (inbox.offerWork(event) == OfferResult.FULL) {
            counters.count(LostMessage.PEER_REQUEST);
            counters.count(RefusalReason.RING_FULL);
            link.send(from, refusal(request));
        }
    }

    private PeerMessage refusal(PeerMessage.PeerRequest request) {
        // The holder's table has not been checked, so an earlier attempt may have run.
        Outcome outcome = request.purpose() == PeerMessage.Purpose.HOLD && !request.idempotent()
                ? new Outcome.Unknown(UnknownReason.HOLDER_UNREACHABLE, Step.OWNERSHIP, Optional.empty())
                : new Outcome.NotRun(RefusalReason.RING_FULL, RING_FULL_RETRY_AFTER, Step.PEER_WAIT, Optional.empty());
        NodeStatus status = board.latest();
        PeerMessage.LoadReport load =
                new PeerMessage.LoadReport(status.inFlight(), status.limit(), status.queued(), status.cut());
        return new PeerMessage.PeerAnswer(
                request.attempt(), outcome, request.retryCredits(), load, java.util.List.of());
    }

    private void offerNotice(Event event) {
        if (inbox.offerNotice(event) == OfferResult.FULL) {
            counters.count(LostMessage.PEER_NOTICE);
        }
    }

    @Override
    public void unsent(NodeName peer, PeerMessage message) {
        inbox.deliver(new Event.PeerUnsent(peer, message));
    }

    @Override
    public void fault(LinkFault fault) {
        faults.record(fault);
    }
}
