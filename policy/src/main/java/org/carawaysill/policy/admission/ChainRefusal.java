package org.carawaysill.policy.admission;

import java.time.Duration;
import org.carawaysill.model.identity.ServiceName;

/**
 * A request is refused here because a deeper service would refuse it.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the deeper service
 * @param retryAfter when to come back
 */
public record ChainRefusal(ServiceName service, Duration retryAfter) {}
