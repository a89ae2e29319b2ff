package org.carawaysill.policy.fleet.copy;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.carawaysill.policy.message.PeerMessage.CopyPace;
import org.carawaysill.policy.time.Nanos;

/**
 * Paces the requests that are started at a copy that limits how many it takes per second: a token bucket.
 *
 * <p>Invariant: in any span of time, no more requests are started than the highest limit in force allows in that span
 * and {@link #BURST_SECONDS} more, and one. Not thread safe: owned by the policy.
 */
final class StartPacer {

    /** How many seconds' worth of requests may start at once after a pause. A larger burst is no longer paced. */
    private static final double BURST_SECONDS = 0.5;

    /**
     * The lowest rate at which requests are started. A copy that names a lower limit, or 0, gets one request in this
     * time, whose answer is the only way to learn that the limit has ended.
     */
    private static final double MINIMUM_PER_SECOND = 0.25;

    /** The time constant of the measured rate of requests that ask for a start. */
    private static final double ASKED_NANOS = Duration.ofSeconds(1).toNanos();

    /** How long the last of the requests that wait for a start waits. */
    private static final double MAXIMUM_WAIT_SECONDS = 0.25;

    private OptionalDouble limit = OptionalDouble.empty();
    private double startsPerSecond = Double.POSITIVE_INFINITY;
    private double tokens;
    private long filledNanos;
    private double askedPerSecond;
    private long askedNanos;

    /** Sets the limit in requests per second; empty for none. */
    void limit(long now, OptionalDouble requestsPerSecond) {
        boolean wasLimited = isLimited();
        fill(now);
        limit = requestsPerSecond;
        startsPerSecond = requestsPerSecond.isPresent()
                ? Math.max(MINIMUM_PER_SECOND, requestsPerSecond.getAsDouble())
                : Double.POSITIVE_INFINITY;
        tokens = wasLimited ? Math.min(tokens, capacity()) : capacity();
        filledNanos = now;
    }

    private double capacity() {
        return Math.max(1, startsPerSecond * BURST_SECONDS);
    }

    boolean isLimited() {
        return limit.isPresent();
    }

    /** Returns the limit as the copy named it; empty for none. */
    OptionalDouble limit() {
        return limit;
    }

    /** Returns the rate at which requests are started. */
    double startsPerSecond() {
        return startsPerSecond;
    }

    /** Returns how many requests may wait for a start, {@link Integer#MAX_VALUE} without a limit. */
    int mostWaiting() {
        return (int) Math.ceil(startsPerSecond * MAXIMUM_WAIT_SECONDS);
    }

    /** Returns the use of a copy with a limit, of which requests that take the given mean time hold some slots. */
    Optional<CopyPace> pace(long now, int slots, double serviceNanos) {
        if (!isLimited()) {
            return Optional.empty();
        }
        double slotsAtLimit =
                serviceNanos == 0 ? slots : Math.min(slots, startsPerSecond * serviceNanos / Nanos.PER_SECOND);
        return Optional.of(
                new CopyPace((float) limit.getAsDouble(), (float) askedPerSecond(now), (float) slotsAtLimit));
    }

    /** Notes that a request asks for a start. */
    void asked(long now) {
        askedPerSecond = askedPerSecond(now) + Nanos.PER_SECOND / ASKED_NANOS;
        askedNanos = now;
    }

    /** Returns how many requests per second recently asked for a start. */
    double askedPerSecond(long now) {
        return askedPerSecond * Math.exp((askedNanos - now) / ASKED_NANOS);
    }

    /** Takes the right to start one request now; returns whether there was one. */
    boolean tryTake(long now) {
        if (!isLimited()) {
            return true;
        }
        fill(now);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Gives back a right that was taken but not used. */
    void giveBack() {
        tokens++;
    }

    private void fill(long now) {
        if (isLimited()) {
            double seconds = (now - filledNanos) / Nanos.PER_SECOND;
            tokens = Math.min(capacity(), tokens + seconds * startsPerSecond);
        }
        filledNanos = now;
    }

    /** Returns when the next request may start if none is started before. */
    long nextStartNanos() {
        double seconds = Math.max(0, 1 - tokens) / startsPerSecond;
        // Rounded up, so that a request may indeed start then.
        return filledNanos + (long) (seconds * Nanos.PER_SECOND) + 1;
    }
}
