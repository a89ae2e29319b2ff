package org.carawaysill.model.configuration;

import java.time.Duration;

/**
 * What holds for a service as a whole, whatever the request.
 *
 * <p>Immutable and thread safe.
 *
 * @param retryBudget how many retries the nodes send into the service for each first attempt, 0 to 1
 * @param keyLifetime how long callers may come back with the same idempotency key
 */
public record ServiceLimits(double retryBudget, Duration keyLifetime) {

    /** What holds where the document states nothing. */
    public static final ServiceLimits DEFAULTS = new ServiceLimits(0.1, Duration.ofHours(1));

    public ServiceLimits {
        if (!(retryBudget >= 0 && retryBudget <= 1) || keyLifetime.isNegative() || keyLifetime.isZero()) {
            throw new IllegalArgumentException("retry budget must be 0 to 1 and the key lifetime positive");
        }
    }
}
