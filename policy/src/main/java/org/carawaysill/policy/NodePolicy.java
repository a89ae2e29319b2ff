package org.carawaysill.policy;

import java.util.List;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.time.Moment;

/**
 * All decisions of one node, without input, output, threads, clock or hidden randomness.
 *
 * <p>Invariant: the same events at the same moments give the same effects. Not thread safe: one thread owns it.
 */
public interface NodePolicy {

    /**
     * Decides about an event.
     *
     * @param now the moment, never earlier than the last one
     * @param event what happened
     * @return what to do, in this order
     */
    List<Effect> decide(Moment now, Event event);

    /**
     * Returns when the policy must be woken if nothing happens before.
     *
     * @return a time on the monotonic clock in nanoseconds, {@link Long#MAX_VALUE} for never
     */
    long nextWakeNanos();
}
