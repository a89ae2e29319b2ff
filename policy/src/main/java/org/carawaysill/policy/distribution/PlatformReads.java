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
 * Schedules this node's reads at the platform, paced so that the whole fleet stays below the platform's rate limit.
 *
 * <p>Invariant: two reads of this node are separated by at least an interval that grows with the fleet, so that the
 * total read rate has a bound that does not grow, even when every node sees no other node. Not thread safe: one thread
 * owns it.
 */
final class PlatformReads {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long SHORTEST_PACE_NANOS = Duration.ofMillis(250).toNanos();

    /** How long a starting node waits for the list of VMs, which shows the size of the fleet. */
    private static final long FLEET_WAIT_NANOS = NANOS_PER_SECOND;

    /** The assumed size of the fleet until the list of VMs is known. */
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
     * Schedules the first read of a node that has just started: later in a large fleet, since all nodes may start at
     * once.
     *
     * @param now nanoseconds on the monotonic clock
     * @param own the node's service
     */
    void start(long now, ServiceName own) {
        schedule(own).readerFrom(now + FLEET_WAIT_NANOS + random.nextLong(spreadOfAllNanos() + 1));
    }

    /**
     * Updates the size of the fleet; the first update also reschedules the first read to an earlier time.
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
     * Updates how many nodes of the own service are in contact with each other, including this one.
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

    /** Returns the time over which one read by every node is spread. */
    private long spreadOfAllNanos() {
        return fleet * NANOS_PER_SECOND / settings.fleetReadsPerSecond();
    }

    /**
     * Returns the minimum time between two reads of this node: {@link #spreadOfAllNanos()}, or less if only some of the
     * nodes that are in contact with each other read.
     */
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
     * Starts the reads that are due.
     *
     * @param now nanoseconds on the monotonic clock
     * @param own the own service, which is also audited
     * @param wanted whether a document may be read at the platform now
     * @param known the version above which a document is new
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
