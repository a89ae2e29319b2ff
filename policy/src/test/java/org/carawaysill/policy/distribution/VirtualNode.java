package org.carawaysill.policy.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.membership.HeartbeatContent;
import org.carawaysill.policy.membership.Membership;
import org.carawaysill.policy.membership.MembershipSettings;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.routing.CopySelector;
import org.carawaysill.policy.routing.RoutingSettings;
import org.carawaysill.policy.time.Moment;

/** One process: distribution, membership and the choice of copies, combined in the same way as in the engine. */
final class VirtualNode implements HeartbeatContent {

    private static final LoadReport IDLE = new LoadReport(0, 1, 0, 0);

    final NodeName name;
    final ServiceName service;
    final long incarnation;
    final ConfigurationDistribution distribution;
    final Membership membership;
    private final CopySelector selector;
    private final Map<NodeName, Map<ServiceName, Long>> reportedVersions = new HashMap<>();
    private long revision;

    VirtualNode(NodeName name, ServiceName service, long incarnation, SplittableRandom random) {
        this.name = name;
        this.service = service;
        this.incarnation = incarnation;
        this.distribution = new ConfigurationDistribution(
                name, service, new TestDocuments(), DistributionSettings.DEFAULT, random.split());
        this.membership = new Membership(name, MembershipSettings.DEFAULT, random.split());
        this.selector = new CopySelector(name, new AvailabilityZone("zone-0"), random.split(), RoutingSettings.DEFAULT);
    }

    List<Effect> handle(Moment now, Event event) {
        if (event instanceof Event.PeerReceived received
                && received.message() instanceof PeerMessage.Heartbeat heartbeat) {
            reportedVersions.put(received.from(), heartbeat.versions());
        }
        List<Effect> effects = new ArrayList<>(membership.handle(now, event, this));
        effects.addAll(distribution.handle(now, event));
        if (distribution.revision() != revision) {
            revision = distribution.revision();
            List<ServiceConfiguration> rosters = newestRosters();
            rosters.forEach(roster -> selector.updateRoster(now.nanos(), roster));
            effects.addAll(membership.watch(rosters.getFirst().copies(), selector.selectedCopies()));
        }
        return effects;
    }

    private List<ServiceConfiguration> newestRosters() {
        List<ServiceConfiguration> newest = new ArrayList<>();
        distribution.newest(service).ifPresent(own -> {
            newest.add(own);
            own.calls().forEach(called -> distribution.newest(called).ifPresent(newest::add));
        });
        return newest;
    }

    /** Returns whether a node reported this version or a higher one to this process in its last heartbeat. */
    boolean hasReported(NodeName peer, ServiceName document, long version) {
        return reportedVersions.getOrDefault(peer, Map.of()).getOrDefault(document, 0L) >= version;
    }

    long nextWakeNanos() {
        return Math.min(distribution.nextWakeNanos(), membership.nextWakeNanos());
    }

    @Override
    public LoadReport load() {
        return IDLE;
    }

    @Override
    public Map<ServiceName, Long> versionsFor(NodeName peer) {
        return distribution.versionsFor(peer);
    }
}
