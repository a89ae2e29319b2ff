package org.carawaysill.policy.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Priority;
import org.carawaysill.policy.message.PeerMessage.ServiceCut;

/**
 * What the services below this one admit at present, learned from their answers, and by which operations they are
 * reached.
 *
 * <p>Invariant: a cut that is not heard again has no force after {@link #LIFETIME}. Not thread safe: the policy's
 * thread owns it.
 */
public final class ChainCuts {

    /** How long a cut has force after it was heard. */
    public static final Duration LIFETIME = Duration.ofSeconds(1);

    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final ServiceName own;
    private final Map<String, Set<ServiceName>> reached = new HashMap<>();
    private final Map<ServiceName, Map<NodeName, Heard>> heard = new TreeMap<>();

    /**
     * Knows nothing yet.
     *
     * @param own the service of this node
     */
    public ChainCuts(ServiceName own) {
        this.own = own;
    }

    /**
     * Takes note of the cuts that came with an answer.
     *
     * @param now nanoseconds on the monotonic clock
     * @param operation the operation of this node's service during which the answering node was called
     * @param from the answering node
     * @param below the cuts of the answering node's service and of those that it reaches
     */
    public void learned(long now, String operation, NodeName from, List<ServiceCut> below) {
        for (ServiceCut cut : below) {
            if (!cut.service().equals(own)) {
                reached.computeIfAbsent(operation, key -> new TreeSet<>()).add(cut.service());
                heard.computeIfAbsent(cut.service(), key -> new HashMap<>()).put(from, new Heard(cut.level(), now));
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
        for (ServiceName service : reached.getOrDefault(operation, Set.of())) {
            if (priority.level() < level(now, service)) {
                return Optional.of(new ChainRefusal(service, RETRY_AFTER));
            }
        }
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
        for (ServiceName service : reached.getOrDefault(operation, Set.of())) {
            cuts.add(new ServiceCut(service, level(now, service)));
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
        for (ServiceName service : heard.keySet()) {
            levels.put(service, level(now, service));
        }
        return levels;
    }

    private int level(long now, ServiceName service) {
        return heard.getOrDefault(service, Map.of()).values().stream()
                .filter(cut -> now - cut.atNanos() < LIFETIME.toNanos())
                .mapToInt(Heard::level)
                .min()
                .orElse(0);
    }

    private record Heard(int level, long atNanos) {}
}
