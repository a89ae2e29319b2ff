package org.carawaysill.policy.fleet.copy;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Body;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;

/**
 * The requests that wait or run at the local copy, and the memory of those that other nodes sent. Those that entered
 * here are counted where they entered.
 *
 * <p>Invariant: the memory is the sum over the requests in the table. Not thread safe: owned by the policy.
 */
final class RunTable {

    /** What the node records of a request beside its content. */
    private static final int RUN_BYTES = 2048;

    private final long maximumReceivedBytes;
    private final Map<AttemptIdentifier, LocalRun> runs = new HashMap<>();
    private long receivedBytes;

    RunTable(long maximumReceivedBytes) {
        this.maximumReceivedBytes = maximumReceivedBytes;
    }

    /** Returns whether there is memory for a request. The only one always has. */
    boolean hasRoom(LocalRun run) {
        return run.sender().isEmpty() || hasRoom(receivedBytes(run));
    }

    /** Returns whether there is memory for the body of a request in the table. */
    boolean hasRoom(LocalRun run, Body body) {
        return run.sender().isEmpty() || hasRoom(body.length()) || receivedBytes(run) == receivedBytes;
    }

    private boolean hasRoom(long bytes) {
        return receivedBytes == 0 || receivedBytes + bytes <= maximumReceivedBytes;
    }

    private static long receivedBytes(LocalRun run) {
        return run.sender().isPresent() ? RUN_BYTES + run.request().content().byteCount() : 0;
    }

    void put(LocalRun run) {
        if (runs.put(run.request().attempt(), run) == null) {
            receivedBytes += receivedBytes(run);
        }
    }

    void remove(LocalRun run) {
        if (runs.remove(run.request().attempt()) != null) {
            receivedBytes -= receivedBytes(run);
        }
    }

    /** Replaces the request of a run, which must be in the table, by the same with its body. */
    void bodyArrived(long now, LocalRun run, CopyRequest whole) {
        receivedBytes -= receivedBytes(run);
        run.bodyArrived(now, whole);
        receivedBytes += receivedBytes(run);
    }

    Optional<LocalRun> find(AttemptIdentifier attempt) {
        return Optional.ofNullable(runs.get(attempt));
    }

    Collection<LocalRun> all() {
        return Collections.unmodifiableCollection(runs.values());
    }

    /** Returns the memory of the requests that other nodes sent. */
    long receivedBytes() {
        return receivedBytes;
    }
}
