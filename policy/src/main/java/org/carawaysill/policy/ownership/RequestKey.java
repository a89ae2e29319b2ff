package org.carawaysill.policy.ownership;

import java.util.OptionalLong;
import org.carawaysill.model.identity.RequestIdentifier;

/**
 * The content of a caller's idempotency key.
 *
 * <p>Immutable and thread safe.
 *
 * @param request the request that it identifies
 * @param mintedMillis when the key was minted, if the key contains it, wall clock since 1970
 */
public record RequestKey(RequestIdentifier request, OptionalLong mintedMillis) {}
