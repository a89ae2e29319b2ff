package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.policy.retry.RequestLedger;

/**
 * The ledgers of keyed requests at this node, kept so that a caller's repeat draws on the same one.
 *
 * <p>A fresh grant for each repeat would let an impatient caller multiply the retries of one request without bound.
 * Invariant: a ledger is kept for at least {@link #MEMORY}, which exceeds every deadline, and at most twice as long. Not
 * thread safe: owned by the policy.
 */
final class ClientLedgers {

    /** How long a caller's repeat finds the ledger of its request. */
    static final Duration MEMORY = Duration.ofSeconds(60);

    private Map<RequestIdentifier, Entry> present = new HashMap<>();
    private Map<RequestIdentifier, Entry> before = new HashMap<>();
    private long turnedNanos = Long.MIN_VALUE;

    /** Finds the ledger of a request, or opens one with this node's share of the credits. */
    Entry open(long now, RequestIdentifier request, int credits) {
        turn(now);
        Entry known = before.remove(request);
        if (known != null) {
            present.put(request, known);
        }
        return present.computeIfAbsent(request, key -> new Entry(new RequestLedger(credits)));
    }

    private void turn(long now) {
        if (turnedNanos == Long.MIN_VALUE || now - turnedNanos >= MEMORY.toNanos()) {
            before = present;
            present = new HashMap<>();
            turnedNanos = now;
        }
    }

    /** A request's ledger, and whether any of its attempts here may have run; mutable, owned by the policy. */
    static final class Entry {

        private final RequestLedger ledger;
        private boolean mayHaveRun;

        Entry(RequestLedger ledger) {
            this.ledger = ledger;
        }

        RequestLedger ledger() {
            return ledger;
        }

        /** Pays for one more arrival: the first attempt is free, each that follows one which may have run is a retry. */
        boolean pay() {
            return !mayHaveRun || ledger.spendRetry();
        }

        void markMayHaveRun() {
            mayHaveRun = true;
        }
    }
}
