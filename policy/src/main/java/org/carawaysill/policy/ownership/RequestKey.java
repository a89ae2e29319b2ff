package org.carawaysill.policy.ownership;

import java.util.OptionalLong;
import org.carawaysill.model.identity.RequestIdentifier;

/**
 * What a caller's idempotency key says.
 *
 * <p>Immutable and thread safe.
 *
 * @param request the request that it identifies
 * @param mintedMillis when the key was minted, if it says so, wall clock since 1970
 */
public record RequestKey(RequestIdentifier request, OptionalLong mintedMillis) {}
