package org.carawaysill.policy.fleet.quarantine;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.policy.message.Suspicion;

/**
 * What one node knows of one request under which copies crashed.
 *
 * <p>Invariant: what was told of it only grows. Not thread safe: owned by its table.
 */
final class Suspect {

    /**
     * How long a request is refused after it was found to be the cause of two crashes. After that it may run once more, alone
     * and at one copy: one that was found guilty by coincidence is not kept out for good.
     */
    static final Duration QUARANTINE = Duration.ofMinutes(10);

    /** From this number of crashes on a request is their cause beyond coincidence, and is refused for good. */
    static final int FINAL_CRASHES = 3;

    /** How long a request that was suspected and did not come again is remembered. */
    static final Duration SUSPECTED_FOR = Duration.ofMinutes(10);

    /** For good: longer than a process lasts. */
    private static final Duration FINAL_QUARANTINE = Duration.ofDays(30);

    /** How long it is remembered that a suspicion was cleared: others may still tell the suspicion. */
    private static final Duration CLEARED_FOR = Duration.ofMinutes(1);

    /** How long one that was refused is remembered after it may run again. */
    private static final Duration REMEMBERED_AFTER_QUARANTINE = Duration.ofHours(1);

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

    /** When something of it last changed. */
    long changedNanos() {
        return changedNanos;
    }

    void crashed(long now, long start) {
        crashes.add(start);
        changedNanos = now;
    }

    /** Notes that it was there at a crash of which others were suspected already. */
    void witnessed(long now, long start) {
        witnessed.add(start);
        changedNanos = now;
    }

    void answered(long now) {
        cleared.addAll(crashes);
        changedNanos = now;
    }

    /** Takes it for the cause of all crashes that it was not cleared of. */
    void quarantine(long now) {
        int known = uncleared().size();
        if (known > quarantinedAt) {
            quarantinedAt = known;
            Duration length = known >= FINAL_CRASHES ? FINAL_QUARANTINE : QUARANTINE;
            quarantinedUntilNanos = now + length.toNanos();
            changedNanos = now;
        }
    }

    /** Joins what another node knows; tells whether anything of it was new. */
    boolean join(long now, Suspicion told) {
        boolean news = crashes.addAll(told.crashes());
        news |= witnessed.addAll(told.witnessed());
        news |= cleared.addAll(told.cleared());
        if (told.quarantinedAt() > quarantinedAt) {
            quarantinedAt = told.quarantinedAt();
            quarantinedUntilNanos = now + told.remainingNanos();
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

    /** The crashes that no answer since has cleared it of. */
    Set<Long> uncleared() {
        Set<Long> left = new HashSet<>(crashes);
        left.removeAll(cleared);
        return left;
    }

    /** The crashes that it can be the cause of. */
    Set<Long> possible() {
        Set<Long> possible = uncleared();
        possible.addAll(witnessed);
        return possible;
    }

    /** Sets for how many crashes it is still suspected, by all that is known of others. */
    void open(int count) {
        openCrashes = count;
    }

    boolean isOpen() {
        return openCrashes > 0;
    }

    /** Returns whether it was under so many crashes that the others under them are free of suspicion. */
    boolean isCertain() {
        return uncleared().size() >= FINAL_CRASHES;
    }

    /** Returns whether it is taken for the cause of crashes; an answer since then has shown that it is not. */
    boolean isCause() {
        return quarantinedAt > 0 && uncleared().size() >= quarantinedAt;
    }

    boolean isQuarantined(long now) {
        return isOpen() && isCause() && now < quarantinedUntilNanos;
    }

    Standing standing(long now) {
        if (!isOpen()) {
            return new Standing.Clear();
        }
        return isQuarantined(now)
                ? new Standing.Quarantined(fingerprint, openCrashes, quarantinedUntilNanos - now)
                : new Standing.Suspected(fingerprint, openCrashes);
    }

    boolean isForgotten(long now) {
        if (!isOpen()) {
            return now - changedNanos > CLEARED_FOR.toNanos();
        }
        return quarantinedAt > 0
                ? now - quarantinedUntilNanos > REMEMBERED_AFTER_QUARANTINE.toNanos()
                : now - changedNanos > SUSPECTED_FOR.toNanos();
    }

    /** What is kept longest where there is no room: what is refused, then what is suspected, then what is cleared. */
    int worth() {
        return uncleared().isEmpty() ? 0 : 1 + quarantinedAt;
    }
}
