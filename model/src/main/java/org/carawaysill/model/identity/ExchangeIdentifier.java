package org.carawaysill.model.identity;

import java.util.HexFormat;

/**
 * Identifies one open HTTP exchange of this process with a caller or with its local copy.
 *
 * <p>128 bits. Immutable and thread safe.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record ExchangeIdentifier(long high, long low) {

    private static final int TEXT_LENGTH = 32;
    private static final int HALF = 16;

    /**
     * Parses the form that {@link #toString()} returns.
     *
     * @param text 32 hexadecimal digits
     * @return the identifier
     * @throws IllegalArgumentException if the text has another form
     */
    public static ExchangeIdentifier parse(String text) {
        if (text.length() != TEXT_LENGTH) {
            throw new IllegalArgumentException("an identifier must have 32 hexadecimal digits");
        }
        return new ExchangeIdentifier(
                HexFormat.fromHexDigitsToLong(text, 0, HALF), HexFormat.fromHexDigitsToLong(text, HALF, TEXT_LENGTH));
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }
}
