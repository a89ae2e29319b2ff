package org.carawaysill.policy.fleet.quarantine;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.policy.message.Suspicion;

/**
 * The state that one node keeps of one request during which copies crashed.
 *
 * <p>Invariant: the reported facts only grow. Not thread safe: owned by its table.
 */
final class Suspect {

    /**
     * How long a request is refused after it was found to be the cause of two crashes. Afterwards it may run once more,
     * alone and at one copy, so that a request that was taken for a cause by coincidence is not refused forever.
     */
    static final Duration QUARANTINE = Duration.ofMinutes(10);

    /**
     * From this number of crashes on, coincidence is ruled out: the request is their cause and is refused permanently.
     */
    static final int CERTAIN_CRASHES = 3;

    /** How long a suspected request that did not arrive again is remembered. */
    static final Duration SUSPICION_RETENTION = Duration.ofMinutes(10);

    /** The duration of a permanent quarantine: longer than a process lasts. */
    private static final Duration PERMANENT_QUARANTINE = Duration.ofDays(30);

    /** How long it is remembered that a suspicion was cleared, since other nodes may still send the suspicion. */
    private static final Duration CLEARED_RETENTION = Duration.ofMinutes(1);

    /** How long a quarantined request is remembered after its quarantine. */
    private static final Duration QUARANTINE_RETENTION = Duration.ofHours(1);

    private final Fingerprint fingerprint;
    private final ServiceName service;
    private final Set<Long> crashes = new HashSet<>();
    private final Set<Long> witnessed = new HashSet<>();
    private final Set<Long> cleared = new HashSet<>();
    private int openCrashes;
    private int quarantinedAt;
    private long quarantinedUntilNanos;
    private long changedNanos;

    Suspect(long now, Fingerprint fingerprint, ServiceName service) {
        this.fingerprint = fingerprint;
        this.service = service;
        changedNanos = now;
    }

    Fingerprint fingerprint() {
        return fingerprint;
    }

    ServiceName service() {
        return service;
    }

    /** Returns when the state last changed. */
    long changedNanos() {
        return changedNanos;
    }

    void crashed(long now, long start) {
        crashes.add(start);
        changedNanos = now;
    }

    /** Notes that the request was in flight at a crash for which others were already suspected. */
    void witnessed(long now, long start) {
        witnessed.add(start);
        changedNanos = now;
    }

    void answered(long now) {
        cleared.addAll(crashes);
        changedNanos = now;
    }

    /** Quarantines the request as the cause of all crashes that it was not cleared of. */
    void quarantine(long now) {
        int known = uncleared().size();
        if (known > quarantinedAt) {
            quarantinedAt = known;
            Duration length = known >= CERTAIN_CRASHES ? PERMANENT_QUARANTINE : QUARANTINE;
            quarantinedUntilNanos = now + length.toNanos();
            changedNanos = now;
        }
    }

    /** Merges the state of another node; returns whether any of it was new. */
    boolean merge(long now, Suspicion received) {
        boolean news = crashes.addAll(received.crashes());
        news |= witnessed.addAll(received.witnessed());
        news |= cleared.addAll(received.cleared());
        if (received.quarantinedAt() > quarantinedAt) {
            quarantinedAt = received.quarantinedAt();
            quarantinedUntilNanos = now + received.remainingNanos();
            news = true;
        }
        if (news) {
            changedNanos = now;
        }
        return news;
    }

    Suspicion suspicion(long now) {
        long remaining = quarantinedAt == 0 ? 0 : Math.max(0, quarantinedUntilNanos - now);
        return new Suspicion(fingerprint, crashes, witnessed, cleared, quarantinedAt, remaining);
    }

    /** Returns the crashes that no later answer has cleared the request of. */
    Set<Long> uncleared() {
        Set<Long> left = new HashSet<>(crashes);
        left.removeAll(cleared);
        return left;
    }

    /** Returns the crashes of which the request may be the cause. */
    Set<Long> possiblyCaused() {
        Set<Long> possiblyCaused = uncleared();
        possiblyCaused.addAll(witnessed);
        return possiblyCaused;
    }

    /** Sets for how many crashes the request is still suspected, given the state of all suspects. */
    void setOpenCrashes(int count) {
        openCrashes = count;
    }

    boolean isOpen() {
        return openCrashes > 0;
    }

    /** Returns whether the request was in flight at so many crashes that the others in flight at them are cleared. */
    boolean isCertain() {
        return uncleared().size() >= CERTAIN_CRASHES;
    }

    /** Returns whether the request is taken for the cause of crashes and no answer since then has cleared it. */
    boolean isCause() {
        return quarantinedAt > 0 && uncleared().size() >= quarantinedAt;
    }

    boolean isQuarantined(long now) {
        return isOpen() && isCause() && now < quarantinedUntilNanos;
    }

    SuspicionState suspicionState(long now) {
        if (!isOpen()) {
            return new SuspicionState.Clear();
        }
        return isQuarantined(now)
                ? new SuspicionState.Quarantined(fingerprint, openCrashes, quarantinedUntilNanos - now)
                : new SuspicionState.Suspected(fingerprint, openCrashes);
    }

    boolean isExpired(long now) {
        if (!isOpen()) {
            return now - changedNanos > CLEARED_RETENTION.toNanos();
        }
        return quarantinedAt > 0
                ? now - quarantinedUntilNanos > QUARANTINE_RETENTION.toNanos()
                : now - changedNanos > SUSPICION_RETENTION.toNanos();
    }

    /**
     * Returns the retention priority when the table is full: quarantined requests are kept longest, then suspected
     * ones, then cleared ones.
     */
    int retentionPriority() {
        return uncleared().isEmpty() ? 0 : 1 + quarantinedAt;
    }
}
