package org.carawaysill.policy;

import java.util.List;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.time.Moment;

/**
 * Makes all decisions of one node. It does no input or output, and uses no threads, no clock and no hidden randomness.
 *
 * <p>Invariant: the same events at the same times produce the same effects. Not thread safe: one thread owns it.
 */
public interface NodePolicy {

    /**
     * Handles an event.
     *
     * @param now the current time, never earlier than in the previous call
     * @param event the event
     * @return the effects to perform, in this order
     */
    List<Effect> decide(Moment now, Event event);

    /**
     * Returns when the policy needs a {@link Event.WakeUp} if no other event comes before.
     *
     * @return a time on the monotonic clock in nanoseconds, {@link Long#MAX_VALUE} for never
     */
    long nextWakeNanos();
}
