package org.carawaysill.node.policy;

import org.carawaysill.policy.event.Event;

/**
 * An event that is queued for the policy.
 *
 * <p>Immutable and thread safe.
 *
 * @param event the event
 * @param offeredNanos when the event was queued, on the monotonic clock
 */
public record Arrival(Event event, long offeredNanos) {}
