package org.carawaysill.policy.retry;

import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.AttemptIdentifier;

/**
 * Accounts for the retry credits of one request at one node.
 *
 * <p>Invariant: the credits spent, the credits left and the credits granted to attempts in flight add up to the grant,
 * so the retries of the request in the call tree below this node never exceed the grant. The credits of an attempt
 * whose answer is lost count as spent, because the retries below it can no longer be counted. Not thread safe: one
 * thread owns it.
 */
public final class RetryCreditLedger {

    private final int granted;
    private final Map<AttemptIdentifier, Integer> creditsByAttempt = new HashMap<>();
    private int left;
    private int spent;

    /**
     * Creates a ledger in which all credits are left.
     *
     * @param granted the retries that may be spent at this node and at deeper services
     * @throws IllegalArgumentException if the grant is negative
     */
    public RetryCreditLedger(int granted) {
        if (granted < 0) {
            throw new IllegalArgumentException("a grant of retries must not be negative");
        }
        this.granted = granted;
        this.left = granted;
    }

    /**
     * Grants credits to an attempt that is sent to a deeper service.
     *
     * @param attempt the attempt
     * @param share the maximum number of credits to grant
     * @return the credits granted, fewer than the share if fewer are left
     */
    public int grantForAttempt(AttemptIdentifier attempt, int share) {
        if (creditsByAttempt.containsKey(attempt)) {
            throw new IllegalStateException("attempt " + attempt + " has already been granted credits");
        }
        int taken = Math.max(0, Math.min(share, left));
        creditsByAttempt.put(attempt, taken);
        left -= taken;
        checkInvariant();
        return taken;
    }

    /**
     * Spends one credit on a retry, if one is left.
     *
     * @return true if a credit was spent; if false, the retry must not be made
     */
    public boolean spendRetry() {
        if (left == 0) {
            return false;
        }
        left--;
        spent++;
        checkInvariant();
        return true;
    }

    /**
     * Takes back the credits that an answered attempt did not spend.
     *
     * @param attempt the attempt; an unknown one is ignored
     * @param unspent the unspent credits that the answer reports, limited to what the attempt was granted
     */
    public void returnUnspent(AttemptIdentifier attempt, int unspent) {
        Integer taken = creditsByAttempt.remove(attempt);
        if (taken == null) {
            return;
        }
        int credited = Math.max(0, Math.min(unspent, taken));
        left += credited;
        spent += taken - credited;
        checkInvariant();
    }

    /**
     * Closes an attempt that will not be answered. The credits granted to it count as spent.
     *
     * @param attempt the attempt; an unknown one is ignored
     */
    public void recordLostAttempt(AttemptIdentifier attempt) {
        returnUnspent(attempt, 0);
    }

    /**
     * Returns the credits that are left.
     *
     * @return the credits that can be spent or granted now
     */
    public int left() {
        return left;
    }

    /**
     * Returns the credits that were spent or lost.
     *
     * @return the credits spent at this node or at deeper services, or lost with an unanswered attempt
     */
    public int spent() {
        return spent;
    }

    private void checkInvariant() {
        int outstanding =
                creditsByAttempt.values().stream().mapToInt(Integer::intValue).sum();
        if (left < 0 || spent + left + outstanding != granted) {
            throw new IllegalStateException("retry credits don't add up: granted " + granted + ", spent " + spent
                    + ", left " + left + ", granted to attempts " + outstanding);
        }
    }
}
