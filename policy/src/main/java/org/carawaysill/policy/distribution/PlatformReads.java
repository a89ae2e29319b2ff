package org.carawaysill.policy.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.ConfigurationCount;
import org.carawaysill.policy.effect.Effect;

/**
 * This node's reads at the platform, paced so that the whole fleet stays below the platform's rate.
 *
 * <p>Invariant: two reads of this node are at least a pace apart that grows with the fleet, so that the reads of all nodes
 * together have a bound that does not, also when each believes itself alone. Not thread safe: one thread owns it.
 */
final class PlatformReads {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long SHORTEST_PACE_NANOS = Duration.ofMillis(250).toNanos();

    /** How long a starting node waits for the list of VMs, which tells how large the fleet is. */
    private static final long FLEET_WAIT_NANOS = NANOS_PER_SECOND;

    /** The fleet's size that is assumed until the list of VMs tells it. */
    private static final int ASSUMED_FLEET = 3_500;

    private final DistributionSettings settings;
    private final RandomGenerator random;
    private final Map<ServiceName, ReadSchedule> schedules = new TreeMap<>();
    private int fleet = ASSUMED_FLEET;
    private boolean fleetKnown;
    private int neighbours = 1;
    private long lastReadNanos;
    private boolean anyRead;
    private long nextAuditNanos = Long.MAX_VALUE;

    PlatformReads(DistributionSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Plans the first read of a node that has just started: later for a large fleet, since all may start together.
     *
     * @param now nanoseconds on the monotonic clock
     * @param own the node's service
     */
    void start(long now, ServiceName own) {
        schedule(own).readerFrom(now + FLEET_WAIT_NANOS + random.nextLong(spreadOfAllNanos() + 1));
    }

    /**
     * Takes in the size of the fleet; the first time it also brings the first read forward.
     *
     * @param now nanoseconds on the monotonic clock
     * @param size the number of listed VMs
     */
    void fleet(long now, int size) {
        fleet = Math.max(1, size);
        if (!fleetKnown && !anyRead) {
            schedules.values().forEach(schedule -> schedule.readerFrom(now + random.nextLong(spreadOfAllNanos() + 1)));
        }
        fleetKnown = true;
    }

    /**
     * Takes in how many nodes of the own service hear one another, this one included.
     *
     * @param now nanoseconds on the monotonic clock
     * @param count the number, at least 1
     */
    void neighbours(long now, int count) {
        neighbours = count;
        if (nextAuditNanos == Long.MAX_VALUE) {
            planAudit(now);
        }
    }

    private void planAudit(long now) {
        double mean = (double) settings.auditInterval().toNanos() * neighbours;
        nextAuditNanos = now + (long) (mean * 2 * random.nextDouble());
    }

    /** The time over which one read of every node is spread. */
    private long spreadOfAllNanos() {
        return fleet * NANOS_PER_SECOND / settings.fleetReadsPerSecond();
    }

    /** As {@link #spreadOfAllNanos()}, less where only some of the nodes that hear one another read. */
    private long paceNanos() {
        long spread = spreadOfAllNanos();
        return Math.max(SHORTEST_PACE_NANOS, Math.min(spread, spread * settings.readersPerService() / neighbours));
    }

    ReadSchedule schedule(ServiceName service) {
        return schedules.computeIfAbsent(service, _ -> new ReadSchedule(random));
    }

    void role(long now, ServiceName service, boolean reader) {
        schedule(service).role(now, reader, paceNanos());
    }

    void follow(Set<ServiceName> services) {
        schedules.keySet().retainAll(services);
    }

    /**
     * Starts what is due.
     *
     * @param now nanoseconds on the monotonic clock
     * @param own the own service, which also gets audits
     * @param wanted whether a document should be read at the platform now
     * @param known the version after which a document is news
     * @return the reads
     */
    List<Effect> start(long now, ServiceName own, Predicate<ServiceName> wanted, ToLongFunction<ServiceName> known) {
        List<Effect> effects = new ArrayList<>();
        schedules.forEach((service, schedule) -> {
            schedule.expireLost(now);
            if (!schedule.due(now) || !mayRead(now)) {
                return;
            }
            if (wanted.test(service)) {
                effects.addAll(read(now, service, known.applyAsLong(service), settings.patience()));
            } else {
                schedule.postpone(now + SHORTEST_PACE_NANOS);
            }
        });
        if (now >= nextAuditNanos) {
            planAudit(now);
            if (!schedule(own).reader() && !schedule(own).open() && mayRead(now)) {
                effects.addAll(read(now, own, known.applyAsLong(own), Duration.ZERO));
            }
        }
        return effects;
    }

    private boolean mayRead(long now) {
        return !anyRead || now - lastReadNanos >= paceNanos();
    }

    private List<Effect> read(long now, ServiceName service, long known, Duration patience) {
        lastReadNanos = now;
        anyRead = true;
        schedule(service).opened(now, patience);
        return List.of(
                new Effect.Count(ConfigurationCount.READ), new Effect.ReadConfiguration(service, known, patience));
    }

    long nextWakeNanos() {
        long due = schedules.values().stream()
                .mapToLong(ReadSchedule::nextWakeNanos)
                .min()
                .orElse(Long.MAX_VALUE);
        long allowed = anyRead ? lastReadNanos + paceNanos() : Long.MIN_VALUE;
        return Math.max(allowed, Math.min(due, nextAuditNanos));
    }
}
