package org.carawaysill.node.entry;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.request.Step;
import org.carawaysill.node.memory.MemoryAccount;
import org.carawaysill.node.observation.StateLog;

/**
 * Logs when a bound on clients begins and ceases to turn some of them away.
 *
 * <p>Invariant: the lines for begin and end alternate. Not thread safe: confined to the event loop.
 */
final class BoundLog {

    /** How long nothing must have been turned away until the bound counts as no longer reached. */
    private static final Duration QUIET = Duration.ofSeconds(5);

    private final MemoryAccount account;
    private boolean binding;
    private long lastNanos;

    BoundLog(MemoryAccount account) {
        this.account = account;
    }

    /** Notes that a client is turned away. */
    void binds(long now) {
        lastNanos = now;
        if (!binding) {
            binding = true;
            log("clients are turned away");
        }
    }

    /** Notes that time has passed. */
    void check(long now) {
        if (binding && now - lastNanos > QUIET.toNanos()) {
            binding = false;
            log("clients are no longer turned away");
        }
    }

    private void log(String what) {
        StateLog.change(
                Step.INGRESS,
                Optional.empty(),
                what + ", held=" + account.held() + " limit=" + account.limit() + " peak=" + account.peak());
    }
}
