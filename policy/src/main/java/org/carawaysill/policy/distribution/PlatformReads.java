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
    private static final long MIN_READ_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

    /** How long a starting node waits for the list of VMs, which shows the size of the fleet. */
    private static final long VM_LIST_WAIT_NANOS = NANOS_PER_SECOND;

    /** The assumed size of the fleet until the list of VMs is known. */
    private static final int ASSUMED_FLEET_SIZE = 3_500;

    private final DistributionSettings settings;
    private final RandomGenerator random;
    private final Map<ServiceName, ReadSchedule> schedules = new TreeMap<>();
    private int fleetSize = ASSUMED_FLEET_SIZE;
    private boolean fleetKnown;
    private int nodesInContact = 1;
    private long lastReadNanos;
    private boolean hasRead;
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
    void scheduleFirstRead(long now, ServiceName own) {
        schedule(own).startReadingAt(now + VM_LIST_WAIT_NANOS + random.nextLong(fleetSpreadNanos() + 1));
    }

    /**
     * Updates the size of the fleet; the first update also reschedules the first read to an earlier time.
     *
     * @param now nanoseconds on the monotonic clock
     * @param size the number of listed VMs
     */
    void fleetSize(long now, int size) {
        fleetSize = Math.max(1, size);
        if (!fleetKnown && !hasRead) {
            schedules
                    .values()
                    .forEach(schedule -> schedule.startReadingAt(now + random.nextLong(fleetSpreadNanos() + 1)));
        }
        fleetKnown = true;
    }

    /**
     * Updates how many nodes of the own service are in contact with each other, including this one.
     *
     * @param now nanoseconds on the monotonic clock
     * @param count the number, at least 1
     */
    void nodesInContact(long now, int count) {
        nodesInContact = count;
        if (nextAuditNanos == Long.MAX_VALUE) {
            scheduleAudit(now);
        }
    }

    private void scheduleAudit(long now) {
        double mean = (double) settings.auditInterval().toNanos() * nodesInContact;
        nextAuditNanos = now + (long) (mean * 2 * random.nextDouble());
    }

    /** Returns the time over which one read by every node is spread. */
    private long fleetSpreadNanos() {
        return fleetSize * NANOS_PER_SECOND / settings.fleetReadsPerSecond();
    }

    /**
     * Returns the minimum time between two reads of this node: {@link #fleetSpreadNanos()}, or less if only some of the
     * nodes that are in contact with each other read.
     */
    private long minIntervalNanos() {
        long spread = fleetSpreadNanos();
        return Math.max(
                MIN_READ_INTERVAL_NANOS, Math.min(spread, spread * settings.readersPerService() / nodesInContact));
    }

    ReadSchedule schedule(ServiceName service) {
        return schedules.computeIfAbsent(service, _ -> new ReadSchedule(random));
    }

    void setReader(long now, ServiceName service, boolean reader) {
        schedule(service).setReader(now, reader, minIntervalNanos());
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
    List<Effect> startDue(long now, ServiceName own, Predicate<ServiceName> wanted, ToLongFunction<ServiceName> known) {
        List<Effect> effects = new ArrayList<>();
        schedules.forEach((service, schedule) -> {
            schedule.expireLost(now);
            if (!schedule.due(now) || !mayRead(now)) {
                return;
            }
            if (wanted.test(service)) {
                effects.addAll(read(now, service, known.applyAsLong(service), settings.maximumWait()));
            } else {
                schedule.postpone(now + MIN_READ_INTERVAL_NANOS);
            }
        });
        if (now >= nextAuditNanos) {
            scheduleAudit(now);
            if (!schedule(own).reader() && !schedule(own).open() && mayRead(now)) {
                effects.addAll(read(now, own, known.applyAsLong(own), Duration.ZERO));
            }
        }
        return effects;
    }

    private boolean mayRead(long now) {
        return !hasRead || now - lastReadNanos >= minIntervalNanos();
    }

    private List<Effect> read(long now, ServiceName service, long known, Duration maximumWait) {
        lastReadNanos = now;
        hasRead = true;
        schedule(service).opened(now, maximumWait);
        return List.of(
                new Effect.Count(ConfigurationCount.READ), new Effect.ReadConfiguration(service, known, maximumWait));
    }

    long nextWakeNanos() {
        long due = schedules.values().stream()
                .mapToLong(ReadSchedule::nextWakeNanos)
                .min()
                .orElse(Long.MAX_VALUE);
        long allowed = hasRead ? lastReadNanos + minIntervalNanos() : Long.MIN_VALUE;
        return Math.max(allowed, Math.min(due, nextAuditNanos));
    }
}
