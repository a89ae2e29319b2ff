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
 * Tracks the admission cuts of the deeper services, as reported with their answers, and which operations reach them.
 *
 * <p>A request that would be refused at the last hop is refused here instead, before any copy has worked for it. An
 * operation counts as reaching a service for a minute after the last answer that showed it. Invariant: a cut that is
 * not reported again has no effect after a second. Not thread safe: the policy's thread owns it.
 */
public final class ChainCuts {

    private static final long REACH_MEMORY_NANOS = 60_000_000_000L;

    private final ServiceName own;
    private final Map<String, Map<ServiceName, Long>> reachedBy = new HashMap<>();
    private final Map<ServiceName, ServiceCuts> services = new TreeMap<>();

    /**
     * Starts without known cuts.
     *
     * @param own the service of this node
     */
    public ChainCuts(ServiceName own) {
        this.own = own;
    }

    /**
     * Records the cuts that came with an answer, whatever its outcome.
     *
     * @param now nanoseconds on the monotonic clock
     * @param operation the operation of this node's service during which the answering node was called
     * @param from the answering node
     * @param reportedCuts the cuts of the answering node's service and of those that it reaches
     */
    public void recordCuts(long now, String operation, NodeName from, List<ServiceCut> reportedCuts) {
        for (ServiceCut cut : reportedCuts) {
            if (!cut.service().equals(own)) {
                reachedBy.computeIfAbsent(operation, key -> new TreeMap<>()).put(cut.service(), now);
                services.computeIfAbsent(cut.service(), key -> new ServiceCuts())
                        .reported(now, from, cut.level());
            }
        }
    }

    /**
     * Checks a request against the cuts of the deeper services that its operation reaches.
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
        reached.forEach(service -> services.get(service).admitted(now));
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
     * Returns the current cut of each deeper service.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the lowest level that is admitted, by service
     */
    public Map<ServiceName, Integer> currentLevels(long now) {
        Map<ServiceName, Integer> levels = new TreeMap<>();
        services.forEach((service, cuts) -> levels.put(service, cuts.level(now)));
        return levels;
    }

    private Set<ServiceName> reached(long now, String operation) {
        Map<ServiceName, Long> lastReported = reachedBy.computeIfAbsent(operation, key -> new TreeMap<>());
        lastReported.values().removeIf(reportedNanos -> now - reportedNanos > REACH_MEMORY_NANOS);
        return lastReported.keySet();
    }
}
