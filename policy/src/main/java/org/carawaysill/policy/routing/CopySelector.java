package org.carawaysill.policy.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Priority;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * Chooses the copy for a request: of two random copies in the own availability zone and two in other zones, the one
 * with the least expected queueing and network delay.
 *
 * <p>Invariant: a copy that is not usable is never chosen. Not thread safe: one thread owns it.
 */
public final class CopySelector {

    private final NodeName self;
    private final AvailabilityZone zone;
    private final RandomGenerator random;
    private final RoutingSettings settings;
    private final Map<ServiceName, List<CopyEntry>> subsets = new TreeMap<>();
    private final Map<NodeName, CopyState> copies = new HashMap<>();

    /**
     * Creates a selector that knows no copies yet.
     *
     * @param self this node
     * @param zone its availability zone
     * @param random the source of random choices
     * @param settings the routing settings
     */
    public CopySelector(NodeName self, AvailabilityZone zone, RandomGenerator random, RoutingSettings settings) {
        this.self = self;
        this.zone = zone;
        this.random = random;
        this.settings = settings;
    }

    /**
     * Updates a service's roster. All copies of the own service are used, and a subset of those of another service.
     *
     * @param now nanoseconds on the monotonic clock
     * @param configuration the service's configuration
     */
    public void updateRoster(long now, ServiceConfiguration configuration) {
        boolean own = configuration.copy(self).isPresent();
        List<CopyEntry> chosen = own ? configuration.copies() : CopySubset.choose(self, configuration, settings);
        subsets.put(configuration.service(), chosen);
        for (CopyEntry copy : chosen) {
            copies.computeIfAbsent(
                            copy.node(),
                            _ -> new CopyState(settings, copy.zone().equals(zone), copy.slots()))
                    .setSlots(copy.slots());
        }
        copies.keySet().retainAll(selectedCopies().stream().map(CopyEntry::node).collect(Collectors.toSet()));
    }

    /**
     * Forgets a service that is no longer called.
     *
     * @param service the service
     */
    public void forget(ServiceName service) {
        subsets.remove(service);
    }

    /**
     * Chooses a copy.
     *
     * @param now nanoseconds on the monotonic clock
     * @param service the service to call
     * @param excluded copies that must not be chosen
     * @param priority the request's place in the order of refusal
     * @return the node beside the copy; empty if no usable copy is left
     */
    public Optional<NodeName> choose(long now, ServiceName service, Set<NodeName> excluded, Priority priority) {
        List<NodeName> usable = subsets.getOrDefault(service, List.of()).stream()
                .map(CopyEntry::node)
                .filter(node -> copies.get(node).isUsable() && !excluded.contains(node))
                .toList();
        List<NodeName> healthy = preferred(usable, node -> !copies.get(node).isAvoided(now));
        List<NodeName> admitting = preferred(healthy, node -> copies.get(node).admits(priority));
        List<NodeName> candidates = preferred(
                admitting, node -> random.nextDouble() < copies.get(node).share(now));
        double averageLoad = candidates.stream()
                .mapToDouble(node -> copies.get(node).othersLoad())
                .average()
                .orElse(0);
        Optional<NodeName> near = betterOfTwo(now, inZone(candidates, true), averageLoad);
        Optional<NodeName> far = betterOfTwo(now, inZone(candidates, false), averageLoad);
        if (near.isEmpty() || far.isEmpty()) {
            return near.or(() -> far);
        }
        double nearCost = copies.get(near.get()).costNanos(now, averageLoad);
        double farCost = copies.get(far.get()).costNanos(now, averageLoad);
        return farCost < nearCost ? far : near;
    }

    /** Returns the nodes that satisfy a condition, or all if none does. */
    private static List<NodeName> preferred(List<NodeName> nodes, Predicate<NodeName> condition) {
        List<NodeName> preferred = nodes.stream().filter(condition).toList();
        return preferred.isEmpty() ? nodes : preferred;
    }

    private List<NodeName> inZone(List<NodeName> nodes, boolean own) {
        return nodes.stream()
                .filter(node -> copies.get(node).isInSameZone() == own)
                .toList();
    }

    private Optional<NodeName> betterOfTwo(long now, List<NodeName> nodes, double averageLoad) {
        if (nodes.size() < 2) {
            return nodes.stream().findFirst();
        }
        int first = random.nextInt(nodes.size());
        int second = (first + 1 + random.nextInt(nodes.size() - 1)) % nodes.size();
        NodeName one = nodes.get(first);
        NodeName other = nodes.get(second);
        boolean firstIsEmptier = copies.get(one).utilisation(now, averageLoad)
                <= copies.get(other).utilisation(now, averageLoad);
        return Optional.of(firstIsEmptier ? one : other);
    }

    /**
     * Records that a request was sent.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node that got it
     */
    public void sent(long now, NodeName node) {
        state(node).ifPresent(CopyState::sent);
    }

    /**
     * Records an answer, which may be a refusal.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node that answered
     * @param load its load at the time of the answer
     * @param latencyNanos the time since the request was sent
     */
    public void answered(long now, NodeName node, LoadReport load, long latencyNanos) {
        state(node).ifPresent(copy -> copy.answered(now, load, latencyNanos));
    }

    /**
     * Records that a request got no answer because the connection was lost or the deadline passed.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node that failed
     */
    public void failed(long now, NodeName node) {
        state(node).ifPresent(copy -> copy.failed(now, random));
    }

    /**
     * Records that a request was cancelled by its sender, which is no sign of a failing copy.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node to which it was sent
     */
    public void cancelled(long now, NodeName node) {
        state(node).ifPresent(CopyState::released);
    }

    /**
     * Records a load that a node reported in a heartbeat.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node
     * @param load its load
     */
    public void loadReported(long now, NodeName node, LoadReport load) {
        state(node).ifPresent(copy -> copy.report(now, load));
    }

    /**
     * Sets whether a node may receive new work.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node
     * @param mayGetNewWork whether it may
     */
    public void setUsable(long now, NodeName node, boolean mayGetNewWork) {
        state(node).ifPresent(copy -> copy.setUsable(now, mayGetNewWork));
    }

    private Optional<CopyState> state(NodeName node) {
        return Optional.ofNullable(copies.get(node));
    }

    /**
     * Returns the copies to which this node keeps connections: all copies of the own service, and the chosen subset of
     * each called service.
     *
     * @return their roster entries
     */
    public List<CopyEntry> selectedCopies() {
        return subsets.values().stream().flatMap(List::stream).toList();
    }
}
