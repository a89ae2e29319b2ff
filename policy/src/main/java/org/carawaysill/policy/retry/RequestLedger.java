package org.carawaysill.policy.retry;

import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.AttemptIdentifier;

/**
 * The retry credits of one request at one node.
 *
 * <p>Invariant: what was spent here, what is left and what deeper attempts took add up to the grant; so the retries of
 * the request in the tree of calls below this node never exceed the grant. An attempt whose answer is lost keeps what it
 * took, since the retries below it can't be counted any more. Not thread safe: one thread owns it.
 */
public final class RequestLedger {

    private final int granted;
    private final Map<AttemptIdentifier, Integer> lent = new HashMap<>();
    private int left;
    private int spent;

    /**
     * Opens a ledger.
     *
     * @param granted the retries that may be spent here and below
     * @throws IllegalArgumentException if the grant is negative
     */
    public RequestLedger(int granted) {
        if (granted < 0) {
            throw new IllegalArgumentException("a grant of retries must not be negative");
        }
        this.granted = granted;
        this.left = granted;
    }

    /**
     * Takes credits out for an attempt that is sent deeper.
     *
     * @param attempt the attempt
     * @param share the most credits that it should get
     * @return the credits that go with it
     */
    public int grantForAttempt(AttemptIdentifier attempt, int share) {
        if (lent.containsKey(attempt)) {
            throw new IllegalStateException("attempt " + attempt + " was granted credits before");
        }
        int taken = Math.max(0, Math.min(share, left));
        lent.put(attempt, taken);
        left -= taken;
        check();
        return taken;
    }

    /**
     * Spends one credit on a retry.
     *
     * @return whether there was one left; if not, the retry must not be made
     */
    public boolean spendRetry() {
        if (left == 0) {
            return false;
        }
        left--;
        spent++;
        check();
        return true;
    }

    /**
     * Takes back what an answered attempt did not spend.
     *
     * @param attempt the attempt; one that is not known here is ignored
     * @param unspent what the answer says; more than the attempt took is not believed
     */
    public void returned(AttemptIdentifier attempt, int unspent) {
        Integer taken = lent.remove(attempt);
        if (taken == null) {
            return;
        }
        int back = Math.max(0, Math.min(unspent, taken));
        left += back;
        spent += taken - back;
        check();
    }

    /**
     * Closes an attempt whose answer will not come: what it took counts as spent.
     *
     * @param attempt the attempt; one that is not known here is ignored
     */
    public void lost(AttemptIdentifier attempt) {
        returned(attempt, 0);
    }

    /**
     * Tells what is left.
     *
     * @return the credits that can be spent or lent now
     */
    public int left() {
        return left;
    }

    /**
     * Tells what was spent or can't be accounted for.
     *
     * @return the credits spent here, below, or lost
     */
    public int spent() {
        return spent;
    }

    private void check() {
        int out = lent.values().stream().mapToInt(Integer::intValue).sum();
        if (left < 0 || spent + left + out != granted) {
            throw new IllegalStateException("retry credits don't add up: granted " + granted + ", spent " + spent
                    + ", left " + left + ", lent " + out);
        }
    }
}
