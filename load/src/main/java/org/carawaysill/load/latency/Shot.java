package org.carawaysill.load.latency;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One request as it is meant to be sent. The paths take turns of half a second, so that whatever else the machine does
 * meets both alike, and neither disturbs the other.
 *
 * <p>Immutable and thread safe.
 *
 * @param atNanos when it is meant to be sent, from the start
 * @param through whether it goes through the nodes
 * @param counts whether it is after the warm-up
 */
record Shot(long atNanos, boolean through, boolean counts) {

    private static final long TURN_NANOS = 500_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    static List<Shot> draw(LatencySettings settings) {
        SplittableRandom random = new SplittableRandom(settings.seed());
        double warmUp = settings.warmUpSeconds() * NANOS_PER_SECOND;
        double end = warmUp + settings.seconds() * NANOS_PER_SECOND;
        List<Shot> shots = new ArrayList<>();
        double at = random.nextExponential() * NANOS_PER_SECOND / settings.ratePerSecond();
        while (at < end) {
            shots.add(new Shot((long) at, (long) at / TURN_NANOS % 2 == 1, at >= warmUp));
            at += random.nextExponential() * NANOS_PER_SECOND / settings.ratePerSecond();
        }
        return shots;
    }
}
