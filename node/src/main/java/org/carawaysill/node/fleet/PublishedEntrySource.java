package org.carawaysill.node.fleet;

import java.util.concurrent.CompletableFuture;
import org.carawaysill.policy.fleet.FleetEffect;
import org.carawaysill.policy.fleet.FleetEvent;

/** Reads entries that the platform publishes. Implementations are thread safe and never block. */
@FunctionalInterface
public interface PublishedEntrySource {

    /**
     * Reads published entries.
     *
     * @param read the entries to read, and how long the platform may delay the answer
     * @return completes with {@link FleetEvent.EntriesRead} or {@link FleetEvent.EntriesReadFailed}, on any thread
     */
    CompletableFuture<FleetEvent> read(FleetEffect.ReadEntries read);
}
