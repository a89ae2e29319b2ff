package org.carawaysill.policy.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Priority;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * Chooses the copy that gets a request, between two random usable ones by load.
 *
 * <p>Invariant: a copy that is not usable is never chosen. Not thread safe: one thread owns it.
 */
public final class CopySelector {

    private final RandomGenerator random;
    private final Map<ServiceName, List<CopyEntry>> rosters = new HashMap<>();
    private final Map<NodeName, Integer> outstanding = new HashMap<>();
    private final Set<NodeName> usable = new HashSet<>();

    /**
     * Creates a selector that knows no copies yet.
     *
     * @param self this node
     * @param zone its availability zone
     * @param random the source of choices
     * @param settings how to choose
     */
    public CopySelector(NodeName self, AvailabilityZone zone, RandomGenerator random, RoutingSettings settings) {
        this.random = random;
    }

    /**
     * Takes in a service's roster.
     *
     * @param now nanoseconds on the monotonic clock
     * @param configuration the service's configuration in force
     */
    public void roster(long now, ServiceConfiguration configuration) {
        rosters.put(configuration.service(), configuration.copies());
    }

    /**
     * Chooses a copy.
     *
     * @param now nanoseconds on the monotonic clock
     * @param service the service to call
     * @param excluded copies that must not be chosen
     * @param priority the request's place in the order of refusal
     * @return the node beside the copy, empty where no usable copy is left
     */
    public Optional<NodeName> choose(long now, ServiceName service, Set<NodeName> excluded, Priority priority) {
        List<NodeName> candidates = rosters.getOrDefault(service, List.of()).stream()
                .map(CopyEntry::node)
                .filter(node -> usable.contains(node) && !excluded.contains(node))
                .toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        NodeName first = candidates.get(random.nextInt(candidates.size()));
        NodeName second = candidates.get(random.nextInt(candidates.size()));
        return Optional.of(outstanding.getOrDefault(first, 0) <= outstanding.getOrDefault(second, 0) ? first : second);
    }

    /**
     * Takes in that a request was sent.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node that got it
     */
    public void sent(long now, NodeName node) {
        outstanding.merge(node, 1, Integer::sum);
    }

    /**
     * Takes in an answer, a refusal included.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node that answered
     * @param load its load as it answered
     * @param latencyNanos the time since the request was sent
     */
    public void answered(long now, NodeName node, LoadReport load, long latencyNanos) {
        withdrawn(now, node);
    }

    /**
     * Takes in that no answer came: the connection was lost or the deadline passed.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node that failed
     */
    public void failed(long now, NodeName node) {
        withdrawn(now, node);
    }

    /**
     * Takes in that a request was cancelled by its sender, which says nothing of the copy.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node that had it
     */
    public void withdrawn(long now, NodeName node) {
        outstanding.computeIfPresent(node, (_, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Takes in a load that a node told without a request, by a heartbeat.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node
     * @param load its load
     */
    public void heard(long now, NodeName node, LoadReport load) {}

    /**
     * Takes in whether a node may get new work.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node
     * @param mayGetNewWork whether it may
     */
    public void usable(long now, NodeName node, boolean mayGetNewWork) {
        if (mayGetNewWork) {
            usable.add(node);
        } else {
            usable.remove(node);
        }
    }

    /**
     * Gives the copies of called services to which this node should keep connections.
     *
     * @return the chosen subset of each roster
     */
    public List<CopyEntry> wanted() {
        List<CopyEntry> wanted = new ArrayList<>();
        rosters.values().forEach(wanted::addAll);
        return wanted;
    }
}
