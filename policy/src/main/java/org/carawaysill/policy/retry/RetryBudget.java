package org.carawaysill.policy.retry;

import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.ServiceName;

/**
 * The soft limit on retries per caller and service.
 *
 * <p>This implementation ignores its settings, counts nothing and permits every retry. Not thread safe: one thread owns
 * it.
 */
public final class RetryBudget {

    /**
     * Creates a budget.
     *
     * @param settings the bounds; ignored
     */
    public RetryBudget(RetryBudgetSettings settings) {}

    /**
     * Reports a first attempt; has no effect.
     *
     * @param now nanoseconds on the monotonic clock
     * @param caller the caller
     * @param service the called service
     */
    public void recordFirstAttempt(long now, CallerName caller, ServiceName service) {}

    /**
     * Tells whether a retry may be made.
     *
     * @param now nanoseconds on the monotonic clock
     * @param caller the caller
     * @param service the called service
     * @return always true
     */
    public boolean mayRetry(long now, CallerName caller, ServiceName service) {
        return true;
    }
}
