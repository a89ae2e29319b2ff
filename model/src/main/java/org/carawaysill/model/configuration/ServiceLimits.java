package org.carawaysill.model.configuration;

import java.time.Duration;

/**
 * Limits of a service as a whole, independent of the request.
 *
 * <p>Immutable and thread safe.
 *
 * @param retryBudget the number of retries that the nodes may send to the service per first attempt, 0 to 1
 * @param keyLifetime how long callers may repeat a request with the same idempotency key
 */
public record ServiceLimits(double retryBudget, Duration keyLifetime) {

    /** The limits used where the document states none. */
    public static final ServiceLimits DEFAULTS = new ServiceLimits(0.1, Duration.ofHours(1));

    public ServiceLimits {
        if (!(retryBudget >= 0 && retryBudget <= 1) || keyLifetime.isNegative() || keyLifetime.isZero()) {
            throw new IllegalArgumentException(
                    "the retry budget must be from 0 to 1 and the key lifetime must be positive");
        }
    }
}
