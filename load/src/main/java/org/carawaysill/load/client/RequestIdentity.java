package org.carawaysill.load.client;

import java.util.HexFormat;
import java.util.SplittableRandom;
import java.util.UUID;

/**
 * The identifiers that all tries of a request share.
 *
 * <p>Immutable and thread safe.
 *
 * @param idempotencyKey a UUID of version 7, which contains the time of its creation
 * @param traceIdentifier 32 hexadecimal digits
 * @param spanIdentifier 16 hexadecimal digits
 */
public record RequestIdentity(String idempotencyKey, String traceIdentifier, String spanIdentifier) {

    private static final long VERSION_7 = 0x7000L;
    private static final long RANDOM_BITS_OF_HIGH_HALF = 0x0FFFL;
    private static final long VARIANT = 0x8000_0000_0000_0000L;
    private static final long RANDOM_BITS_OF_LOW_HALF = 0x3FFF_FFFF_FFFF_FFFFL;
    private static final int TIME_SHIFT = 16;

    /**
     * Creates an identity.
     *
     * @param epochMilliseconds the time of creation, in milliseconds since 1970
     * @param random the client's random generator
     * @return the identity
     */
    public static RequestIdentity mint(long epochMilliseconds, SplittableRandom random) {
        long high = epochMilliseconds << TIME_SHIFT | VERSION_7 | random.nextLong() & RANDOM_BITS_OF_HIGH_HALF;
        long low = VARIANT | random.nextLong() & RANDOM_BITS_OF_LOW_HALF;
        HexFormat hex = HexFormat.of();
        String trace = hex.toHexDigits(random.nextLong() | 1) + hex.toHexDigits(random.nextLong());
        return new RequestIdentity(new UUID(high, low).toString(), trace, hex.toHexDigits(random.nextLong() | 1));
    }

    /**
     * Returns the W3C trace header.
     *
     * @return the value of {@code traceparent}
     */
    public String traceParent() {
        return "00-" + traceIdentifier + "-" + spanIdentifier + "-01";
    }
}
