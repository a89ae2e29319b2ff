package org.carawaysill.policy.fleet;

import java.util.List;
import java.util.SplittableRandom;
import org.carawaysill.model.request.Body;

/**
 * What a copy does for a request: its own work, before it the calls, one after the other.
 *
 * <p>Immutable and thread safe.
 *
 * @param nanos mean time of its own work
 * @param spread how much that varies: the standard deviation of its logarithm
 * @param calls the paths that it calls
 * @param answer what it answers
 */
record Work(long nanos, double spread, List<String> calls, Body answer) {

    Work(long nanos, List<String> calls) {
        this(nanos, 0, calls);
    }

    Work(long nanos, double spread, List<String> calls) {
        this(nanos, spread, calls, Body.ofText("answer"));
    }

    long draw(SplittableRandom random) {
        return spread == 0 ? nanos : (long) (nanos * Math.exp(spread * random.nextGaussian() - spread * spread / 2));
    }
}
