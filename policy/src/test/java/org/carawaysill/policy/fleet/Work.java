package org.carawaysill.policy.fleet;

import java.util.List;
import java.util.SplittableRandom;
import org.carawaysill.model.request.Body;

/**
 * The work of a copy for a request: the calls, one after the other, and then its own work.
 *
 * <p>Immutable and thread safe.
 *
 * @param nanos the mean time of its own work
 * @param spread the standard deviation of the logarithm of that time
 * @param calls the paths that it calls
 * @param answer its answer
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
