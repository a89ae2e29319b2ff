package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.policy.retry.RetryCreditLedger;

/**
 * Keeps the ledgers of requests with an idempotency key at this node, so that a caller's repeat draws on the same one.
 *
 * <p>New credits for each repeat would let a caller multiply the retries of one request without bound. Invariant: a ledger
 * is kept for at least {@link #RETENTION}, which exceeds every deadline, and at most twice as long. Not thread safe: owned by
 * the policy.
 */
final class ClientLedgers {

    /** The least time for which a ledger is kept. */
    static final Duration RETENTION = Duration.ofSeconds(60);

    private Map<RequestIdentifier, Entry> current = new HashMap<>();
    private Map<RequestIdentifier, Entry> previous = new HashMap<>();
    private long rotatedNanos = Long.MIN_VALUE;

    /** Returns the ledger of a request, or opens one with this node's share of the credits. */
    Entry open(long now, RequestIdentifier request, int credits) {
        rotate(now);
        Entry known = previous.remove(request);
        if (known != null) {
            current.put(request, known);
        }
        return current.computeIfAbsent(request, key -> new Entry(new RetryCreditLedger(credits)));
    }

    private void rotate(long now) {
        if (rotatedNanos == Long.MIN_VALUE || now - rotatedNanos >= RETENTION.toNanos()) {
            previous = current;
            current = new HashMap<>();
            rotatedNanos = now;
        }
    }

    /** A request's ledger, and whether any of its attempts here may have run; mutable, owned by the policy. */
    static final class Entry {

        private final RetryCreditLedger ledger;
        private boolean mayHaveRun;

        Entry(RetryCreditLedger ledger) {
            this.ledger = ledger;
        }

        RetryCreditLedger ledger() {
            return ledger;
        }

        /** Pays for one more arrival, which costs a retry if an earlier attempt here may have run and else nothing. */
        boolean pay() {
            return !mayHaveRun || ledger.spendRetry();
        }

        void markMayHaveRun() {
            mayHaveRun = true;
        }
    }
}
