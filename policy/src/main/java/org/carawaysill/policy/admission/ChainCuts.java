package org.carawaysill.policy.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Priority;
import org.carawaysill.policy.message.PeerMessage.ServiceCut;

/**
 * What the services below this one admit at present, learned from their answers, and which operations reach them.
 *
 * <p>A request that would be refused at the last hop is refused here instead, before any copy has worked for it.
 * An
 * operation that no longer reaches a service is known to for another minute. Invariant: a cut that is not heard again
 * has no force after a second. Not thread safe: the policy's thread owns it.
 */
public final class ChainCuts {

    private static final long REACH_MEMORY_NANOS = 60_000_000_000L;

    private final ServiceName own;
    private final Map<String, Map<ServiceName, Long>> reachedBy = new HashMap<>();
    private final Map<ServiceName, ServiceCuts> services = new TreeMap<>();

    /**
     * Knows nothing yet.
     *
     * @param own the service of this node
     */
    public ChainCuts(ServiceName own) {
        this.own = own;
    }

    /**
     * Takes note of the cuts that came with an answer, of whatever outcome.
     *
     * @param now nanoseconds on the monotonic clock
     * @param operation the operation of this node's service during which the answering node was called
     * @param from the answering node
     * @param below the cuts of the answering node's service and of those that it reaches
     */
    public void learned(long now, String operation, NodeName from, List<ServiceCut> below) {
        for (ServiceCut cut : below) {
            if (!cut.service().equals(own)) {
                reachedBy.computeIfAbsent(operation, key -> new TreeMap<>()).put(cut.service(), now);
                services.computeIfAbsent(cut.service(), key -> new ServiceCuts())
                        .heard(now, from, cut.level());
            }
        }
    }

    /**
     * Decides whether a request has a chance below.
     *
     * @param now nanoseconds on the monotonic clock
     * @param operation the operation of this node's service
     * @param priority the request's place in the order of refusal
     * @return the refusal, if a service that the operation reaches would refuse it
     */
    public Optional<ChainRefusal> check(long now, String operation, Priority priority) {
        Set<ServiceName> reached = reached(now, operation);
        for (ServiceName service : reached) {
            ServiceCuts cuts = services.get(service);
            if (priority.level() < cuts.level(now)) {
                return Optional.of(new ChainRefusal(service, cuts.refused(now)));
            }
        }
        reached.forEach(service -> services.get(service).passed(now));
        return Optional.empty();
    }

    /**
     * Lists the cuts that callers of an operation of this service should know.
     *
     * @param now nanoseconds on the monotonic clock
     * @param operation the operation of this node's service
     * @param ownCut the cut of the local copy
     * @return this service's cut, then those of the services that the operation reaches
     */
    public List<ServiceCut> report(long now, String operation, int ownCut) {
        List<ServiceCut> cuts = new ArrayList<>();
        cuts.add(new ServiceCut(own, ownCut));
        for (ServiceName service : reached(now, operation)) {
            cuts.add(new ServiceCut(service, services.get(service).level(now)));
        }
        return cuts;
    }

    /**
     * Tells the present cut of each deeper service.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the lowest level that has a chance, by service
     */
    public Map<ServiceName, Integer> present(long now) {
        Map<ServiceName, Integer> levels = new TreeMap<>();
        services.forEach((service, cuts) -> levels.put(service, cuts.level(now)));
        return levels;
    }

    private Set<ServiceName> reached(long now, String operation) {
        Map<ServiceName, Long> lastHeard = reachedBy.getOrDefault(operation, Map.of());
        lastHeard.values().removeIf(heardNanos -> now - heardNanos > REACH_MEMORY_NANOS);
        return lastHeard.keySet();
    }
}
