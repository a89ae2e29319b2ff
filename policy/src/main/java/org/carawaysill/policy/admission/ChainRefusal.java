package org.carawaysill.policy.admission;

import java.time.Duration;
import org.carawaysill.model.identity.ServiceName;

/**
 * The refusal of a request at this node because a deeper service would refuse it.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the deeper service
 * @param retryAfter how long the caller should wait before it tries again
 */
public record ChainRefusal(ServiceName service, Duration retryAfter) {}
