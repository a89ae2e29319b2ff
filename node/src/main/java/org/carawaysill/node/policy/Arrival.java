package org.carawaysill.node.policy;

import org.carawaysill.policy.event.Event;

/**
 * An event on its way to the policy.
 *
 * <p>Immutable and thread safe.
 *
 * @param event the event
 * @param offeredNanos when it was offered, on the monotonic clock
 */
public record Arrival(Event event, long offeredNanos) {}
