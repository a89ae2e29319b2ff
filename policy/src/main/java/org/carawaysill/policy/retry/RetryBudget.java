package org.carawaysill.policy.retry;

import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.ServiceName;

/** The soft budget of retries per caller and service. Not thread safe: one thread owns it. */
public final class RetryBudget {

    /**
     * Opens budgets without any attempts.
     *
     * @param settings the bounds
     */
    public RetryBudget(RetryBudgetSettings settings) {}

    /**
     * Counts a first attempt.
     *
     * @param now nanoseconds on the monotonic clock
     * @param caller who asked
     * @param service the service called
     */
    public void firstAttempt(long now, CallerName caller, ServiceName service) {}

    /**
     * Takes a retry out of the budget if there is room.
     *
     * @param now nanoseconds on the monotonic clock
     * @param caller who asked
     * @param service the service called
     * @return whether the retry may be made; it is then counted
     */
    public boolean mayRetry(long now, CallerName caller, ServiceName service) {
        return true;
    }
}
