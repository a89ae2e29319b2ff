package org.carawaysill.load.latency;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A scheduled request. The paths alternate every half second, so that other load on the machine affects both alike and
 * the paths don't disturb each other.
 *
 * <p>Immutable and thread safe.
 *
 * @param atNanos the intended sending time, in nanoseconds from the start
 * @param through whether it is sent through the nodes
 * @param counts whether it is measured, which holds after the warm-up
 */
record ScheduledRequest(long atNanos, boolean through, boolean counts) {

    private static final long TURN_NANOS = 500_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    static List<ScheduledRequest> draw(LatencySettings settings) {
        SplittableRandom random = new SplittableRandom(settings.seed());
        double warmUp = settings.warmUpSeconds() * NANOS_PER_SECOND;
        double end = warmUp + settings.seconds() * NANOS_PER_SECOND;
        List<ScheduledRequest> requests = new ArrayList<>();
        double at = random.nextExponential() * NANOS_PER_SECOND / settings.ratePerSecond();
        while (at < end) {
            requests.add(new ScheduledRequest((long) at, (long) at / TURN_NANOS % 2 == 1, at >= warmUp));
            at += random.nextExponential() * NANOS_PER_SECOND / settings.ratePerSecond();
        }
        return requests;
    }
}
