package org.carawaysill.policy.fleet.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.policy.message.Suspicion;

/**
 * Tracks requests that are suspected of crashing upstream copies.
 *
 * <p>Invariants: the state of other nodes is merged by union, so that order, repetition and multiple paths do no harm;
 * the table never holds more than {@link #MAX_SUSPECTS} requests. Not thread safe: owned by the policy.
 */
public final class SuspectTable {

    /** The capacity: the requests of some twenty crashes of copies with 200 slots, less than 1 MB. */
    static final int MAX_SUSPECTS = 4096;

    /** Crashes within this window are evidence of a common cause. */
    static final Duration CORRELATION_WINDOW = Duration.ofSeconds(30);

    /** The divisor of the part of the table that is evicted when it is full: one in eight. */
    private static final int EVICTION_DIVISOR = 8;

    /**
     * The time of the last crash before any occurred; far enough from the smallest number to avoid overflow in sums.
     */
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** How many starts of copies are remembered to have crashed: their entries expire within seconds. */
    private static final int MAXIMUM_STARTS = 512;

    private final Map<Fingerprint, Suspect> suspects = new HashMap<>();
    private final Map<Long, Crash> crashesByStart = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Crash> eldest) {
            return size() > MAXIMUM_STARTS;
        }
    };

    private long lastCrashNanos = NEVER;
    private int openSuspects;
    private boolean isCurrent = true;

    /** The service of a crashed copy, and when this node learned of the crash. */
    private record Crash(ServiceName service, long learnedNanos) {}

    /**
     * Returns whether no request is suspected or quarantined.
     *
     * @return whether the table has no such request
     */
    public boolean isEmpty() {
        return size() == 0;
    }

    /**
     * Returns how many requests are suspected or quarantined.
     *
     * @return their number
     */
    public int size() {
        recompute();
        return openSuspects;
    }

    /**
     * Returns how many requests are quarantined.
     *
     * @param now the monotonic time
     * @return their number
     */
    public int quarantined(long now) {
        recompute();
        return (int) suspects.values().stream()
                .filter(suspect -> suspect.isQuarantined(now))
                .count();
    }

    /** Recomputes for how many crashes each request is still suspected, if the state has changed. */
    private void recompute() {
        if (!isCurrent) {
            isCurrent = true;
            CrashCauses causes = new CrashCauses(suspects.values());
            suspects.values().forEach(suspect -> suspect.setOpenCrashes(causes.openCrashes(suspect)));
            openSuspects =
                    (int) suspects.values().stream().filter(Suspect::isOpen).count();
        }
    }

    /**
     * Returns whether a start of a copy is known to have ended with a crash.
     *
     * @param start the identifier of the start
     * @return whether it has
     */
    public boolean hasCrashed(long start) {
        return crashesByStart.containsKey(start);
    }

    /**
     * Returns when this node last learned of the crash of a copy.
     *
     * @return the monotonic time, or a time far in the past if it never did
     */
    public long lastCrashNanos() {
        return lastCrashNanos;
    }

    /**
     * Returns whether one more crash while a copy runs a request, with no other suspect in flight, shows that the
     * request is the cause.
     *
     * <p>The second such crash shows it, unless copies of the service recently crashed also without the request and for
     * a cause that is not certain. Where copies go down and up for other reasons, retried requests would otherwise be
     * refused because they were in flight at two of them; there the third crash shows it.
     *
     * @param now the monotonic time
     * @param service the service of the crashed copy
     * @param fingerprint the suspected request's fingerprint
     * @return whether it does
     */
    public boolean wouldBeCause(long now, ServiceName service, Fingerprint fingerprint) {
        Set<Long> ownCrashes = suspects.get(fingerprint).uncleared();
        if (ownCrashes.size() + 1 >= Suspect.CERTAIN_CRASHES) {
            return true;
        }
        Set<Long> explained = new CrashCauses(suspects.values()).explained();
        explained.addAll(ownCrashes);
        return crashesByStart.entrySet().stream()
                .filter(crash -> crash.getValue().service().equals(service))
                .filter(crash -> now - crash.getValue().learnedNanos() < CORRELATION_WINDOW.toNanos())
                .allMatch(crash -> explained.contains(crash.getKey()));
    }

    /**
     * Removes requests that have not changed for long.
     *
     * @param now the monotonic time
     * @return how many suspected requests were removed
     */
    public int removeExpired(long now) {
        int before = size();
        suspects.values().removeIf(suspect -> suspect.isExpired(now));
        isCurrent = false;
        return before - size();
    }

    /**
     * Returns whether a request is suspected or quarantined.
     *
     * @param now the monotonic time
     * @param fingerprint the request's fingerprint
     * @return its suspicion state
     */
    public SuspicionState suspicionState(long now, Fingerprint fingerprint) {
        recompute();
        Suspect suspect = suspects.get(fingerprint);
        return suspect == null ? new SuspicionState.Clear() : suspect.suspicionState(now);
    }

    /**
     * Notes that a copy crashed while it ran a request.
     *
     * @param now the monotonic time
     * @param service the service of the copy
     * @param start the identifier of the copy's start
     * @param fingerprint the request's fingerprint
     */
    public void suspect(long now, ServiceName service, long start, Fingerprint fingerprint) {
        suspect(now, service, fingerprint).crashed(now, start);
        recordCrash(now, service, start);
        isCurrent = false;
    }

    /**
     * Notes that a request was in flight at a copy when it crashed, beside others that were already suspected.
     *
     * <p>This alone does not make it suspected. But if it is found to be the cause of other crashes, it is the likely
     * cause of this one too, and one of the suspected requests may have been in flight by coincidence.
     *
     * @param now the monotonic time
     * @param service the service of the copy
     * @param start the identifier of the copy's start
     * @param fingerprint the request's fingerprint
     */
    public void witness(long now, ServiceName service, long start, Fingerprint fingerprint) {
        suspect(now, service, fingerprint).witnessed(now, start);
        recordCrash(now, service, start);
        isCurrent = false;
    }

    /**
     * Notes that a request is the cause of the crashes during which it ran.
     *
     * @param now the monotonic time
     * @param fingerprint the request's fingerprint; nothing happens if it is unknown
     */
    public void quarantine(long now, Fingerprint fingerprint) {
        Optional.ofNullable(suspects.get(fingerprint)).ifPresent(suspect -> suspect.quarantine(now));
        isCurrent = false;
    }

    /**
     * Notes that a copy answered a request, which therefore is not the cause of the earlier crashes.
     *
     * @param now the monotonic time
     * @param fingerprint the request's fingerprint; nothing happens if it is unknown
     */
    public void clear(long now, Fingerprint fingerprint) {
        Optional.ofNullable(suspects.get(fingerprint)).ifPresent(suspect -> suspect.answered(now));
        isCurrent = false;
    }

    /**
     * Merges the state of another node.
     *
     * @param now the monotonic time
     * @param service the service of the crashed copies
     * @param received the state
     * @return whether any of it was new
     */
    public boolean merge(long now, ServiceName service, Suspicion received) {
        boolean news = suspect(now, service, received.fingerprint()).merge(now, received);
        received.crashes().forEach(start -> recordCrash(now, service, start));
        received.witnessed().forEach(start -> recordCrash(now, service, start));
        isCurrent = false;
        return news;
    }

    /**
     * Returns the state of a request that other nodes should receive.
     *
     * @param now the monotonic time
     * @param fingerprint the request's fingerprint
     * @return the state, empty if the request is unknown
     */
    public Optional<Suspicion> suspicion(long now, Fingerprint fingerprint) {
        return Optional.ofNullable(suspects.get(fingerprint)).map(suspect -> suspect.suspicion(now));
    }

    /**
     * Returns the state of all known requests to one service.
     *
     * @param now the monotonic time
     * @param service the service
     * @return the states
     */
    public List<Suspicion> suspicions(long now, ServiceName service) {
        return suspects.values().stream()
                .filter(suspect -> suspect.service().equals(service))
                .map(suspect -> suspect.suspicion(now))
                .toList();
    }

    private void recordCrash(long now, ServiceName service, long start) {
        if (crashesByStart.putIfAbsent(start, new Crash(service, now)) == null) {
            lastCrashNanos = now;
        }
    }

    private Suspect suspect(long now, ServiceName service, Fingerprint fingerprint) {
        if (!suspects.containsKey(fingerprint) && suspects.size() >= MAX_SUSPECTS) {
            evict();
        }
        return suspects.computeIfAbsent(fingerprint, _ -> new Suspect(now, fingerprint, service));
    }

    /** Evicts several requests at once, since a crash adds as many as the copy has slots. */
    private void evict() {
        List<Suspect> least = suspects.values().stream()
                .sorted(Comparator.comparingInt(Suspect::retentionPriority).thenComparingLong(Suspect::changedNanos))
                .limit(MAX_SUSPECTS / EVICTION_DIVISOR)
                .toList();
        least.forEach(suspect -> suspects.remove(suspect.fingerprint()));
    }
}
