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
 * Tracks requests suspected of crashing upstream copies.
 *
 * <p>Invariants: what others tell is joined by union, so that order, repeats and several paths do no harm; never more than
 * {@link #MAX_SUSPECTS}. Not thread safe: owned by the policy.
 */
public final class SuspectTable {

    /** Some twenty crashes of copies with 200 slots, under 1 MB. */
    static final int MAX_SUSPECTS = 4096;

    /** Crashes within this window are evidence of a common cause. */
    static final Duration CORRELATION_WINDOW = Duration.ofSeconds(30);

    /** Share of entries evicted when the table is full: one in eight. */
    private static final int EVICTION_DIVISOR = 8;

    /** Before any crash; far enough from the smallest number for a sum. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Starts of copies that are remembered to have crashed: their entries lapse within seconds. */
    private static final int MOST_STARTS = 512;

    private final Map<Fingerprint, Suspect> suspects = new HashMap<>();
    private final Map<Long, Crash> crashesByStart = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Crash> eldest) {
            return size() > MOST_STARTS;
        }
    };

    private long lastCrashNanos = NEVER;
    private int open;
    private boolean isStale = true;

    /** When this node heard of the crash of a copy. */
    private record Crash(ServiceName service, long heardNanos) {}

    /**
     * Returns whether no request is suspected or quarantined.
     *
     * @return whether none is suspected or refused
     */
    public boolean isEmpty() {
        return size() == 0;
    }

    /**
     * Returns how many requests are suspected or refused.
     *
     * @return their number
     */
    public int size() {
        recompute();
        return open;
    }

    /**
     * Returns how many requests are refused.
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

    /** Works out what each request is still suspected for. */
    private void recompute() {
        if (!isStale) {
            isStale = true;
            CrashCauses causes = new CrashCauses(suspects.values());
            suspects.values().forEach(suspect -> suspect.open(causes.openCrashes(suspect)));
            open = (int) suspects.values().stream().filter(Suspect::isOpen).count();
        }
    }

    /**
     * Returns whether a start of a copy is known to have ended by a crash.
     *
     * @param start the start
     * @return whether it has
     */
    public boolean hasCrashed(long start) {
        return crashesByStart.containsKey(start);
    }

    /**
     * Returns when this node last heard of the crash of a copy.
     *
     * @return the monotonic time, long ago where it has heard of none
     */
    public long lastCrashNanos() {
        return lastCrashNanos;
    }

    /**
     * Returns whether one more crash under a request, with no other suspect beside it, shows that it is the cause.
     *
     * <p>The second shows it, unless copies of the service lately crashed also without it, for a cause that is not certain. Where
     * copies go down and up for reasons of their own, requests that are tried again would be refused for being at two of them;
     * there the third crash shows it.
     *
     * @param now the monotonic time
     * @param service the service of the copy that crashed
     * @param fingerprint the request, which is suspected
     * @return whether it is
     */
    public boolean wouldBeCause(long now, ServiceName service, Fingerprint fingerprint) {
        Set<Long> ofItself = suspects.get(fingerprint).uncleared();
        if (ofItself.size() + 1 >= Suspect.FINAL_CRASHES) {
            return true;
        }
        Set<Long> explained = new CrashCauses(suspects.values()).explained();
        explained.addAll(ofItself);
        return crashesByStart.entrySet().stream()
                .filter(crash -> crash.getValue().service().equals(service))
                .filter(crash -> now - crash.getValue().heardNanos() < CORRELATION_WINDOW.toNanos())
                .allMatch(crash -> explained.contains(crash.getKey()));
    }

    /**
     * Forgets what has not mattered for long.
     *
     * @param now the monotonic time
     * @return how many requests were forgotten that were suspected
     */
    public int forget(long now) {
        int before = size();
        suspects.values().removeIf(suspect -> suspect.isForgotten(now));
        isStale = false;
        return before - size();
    }

    /**
     * Returns what is known of a request.
     *
     * @param now the monotonic time
     * @param fingerprint the request
     * @return its standing
     */
    public Standing standing(long now, Fingerprint fingerprint) {
        recompute();
        Suspect suspect = suspects.get(fingerprint);
        return suspect == null ? new Standing.Clear() : suspect.standing(now);
    }

    /**
     * Notes that a copy crashed while it ran a request.
     *
     * @param now the monotonic time
     * @param service the service of the copy
     * @param start the copy's start
     * @param fingerprint the request
     */
    public void suspect(long now, ServiceName service, long start, Fingerprint fingerprint) {
        suspect(now, service, fingerprint).crashed(now, start);
        heard(now, service, start);
        isStale = false;
    }

    /**
     * Notes that a request was at a copy when it crashed, beside others that were suspected already.
     *
     * <p>It is not suspected for that. But if it is found to be the cause of other crashes, it is the likely cause of this one
     * too, and one of those others may have been there by coincidence.
     *
     * @param now the monotonic time
     * @param service the service of the copy
     * @param start the copy's start
     * @param fingerprint the request
     */
    public void witness(long now, ServiceName service, long start, Fingerprint fingerprint) {
        suspect(now, service, fingerprint).witnessed(now, start);
        heard(now, service, start);
        isStale = false;
    }

    /**
     * Notes that a request is the cause of the crashes under it.
     *
     * @param now the monotonic time
     * @param fingerprint the request; nothing happens where it is not known
     */
    public void quarantine(long now, Fingerprint fingerprint) {
        Optional.ofNullable(suspects.get(fingerprint)).ifPresent(suspect -> suspect.quarantine(now));
        isStale = false;
    }

    /**
     * Notes that a copy answered a request, which therefore is not the cause of the crashes before.
     *
     * @param now the monotonic time
     * @param fingerprint the request; nothing happens where it is not known
     */
    public void clear(long now, Fingerprint fingerprint) {
        Optional.ofNullable(suspects.get(fingerprint)).ifPresent(suspect -> suspect.answered(now));
        isStale = false;
    }

    /**
     * Joins what another node knows.
     *
     * @param now the monotonic time
     * @param service the service of the copies that crashed
     * @param told what it knows
     * @return whether anything of it was new
     */
    public boolean join(long now, ServiceName service, Suspicion told) {
        boolean news = suspect(now, service, told.fingerprint()).join(now, told);
        told.crashes().forEach(start -> heard(now, service, start));
        told.witnessed().forEach(start -> heard(now, service, start));
        isStale = false;
        return news;
    }

    /**
     * Returns what others should know of a request.
     *
     * @param now the monotonic time
     * @param fingerprint the request
     * @return what is known, empty where nothing is
     */
    public Optional<Suspicion> suspicion(long now, Fingerprint fingerprint) {
        return Optional.ofNullable(suspects.get(fingerprint)).map(suspect -> suspect.suspicion(now));
    }

    /**
     * Returns all that is known of requests to one service.
     *
     * @param now the monotonic time
     * @param service the service
     * @return what is known
     */
    public List<Suspicion> suspicions(long now, ServiceName service) {
        return suspects.values().stream()
                .filter(suspect -> suspect.service().equals(service))
                .map(suspect -> suspect.suspicion(now))
                .toList();
    }

    private void heard(long now, ServiceName service, long start) {
        if (crashesByStart.putIfAbsent(start, new Crash(service, now)) == null) {
            lastCrashNanos = now;
        }
    }

    private Suspect suspect(long now, ServiceName service, Fingerprint fingerprint) {
        if (!suspects.containsKey(fingerprint) && suspects.size() >= MAX_SUSPECTS) {
            forgetLeastWorth();
        }
        return suspects.computeIfAbsent(fingerprint, _ -> new Suspect(now, fingerprint, service));
    }

    /** Makes room for several at once, since a crash brings as many as the copy has slots. */
    private void forgetLeastWorth() {
        List<Suspect> least = suspects.values().stream()
                .sorted(Comparator.comparingInt(Suspect::worth).thenComparingLong(Suspect::changedNanos))
                .limit(MAX_SUSPECTS / EVICTION_DIVISOR)
                .toList();
        least.forEach(suspect -> suspects.remove(suspect.fingerprint()));
    }
}
