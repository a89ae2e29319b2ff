package org.carawaysill.standin.upstream;

import java.util.HexFormat;
import java.util.Optional;

/**
 * The trace identifier of a request, from the W3C header {@code traceparent}.
 *
 * <p>Immutable and thread safe.
 *
 * @param high the first 64 bits
 * @param low the last 64 bits
 */
record TraceIdentifier(long high, long low) {

    private static final int START = 3;
    private static final int MIDDLE = START + 16;
    private static final int END = MIDDLE + 16;

    /**
     * Parses a header.
     *
     * @param traceparent {@code VERSION-TRACE-PARENT-FLAGS}
     * @return the trace identifier, or empty if the header is malformed
     */
    static Optional<TraceIdentifier> parse(String traceparent) {
        if (traceparent.length() <= END || traceparent.charAt(START - 1) != '-' || traceparent.charAt(END) != '-') {
            return Optional.empty();
        }
        try {
            return Optional.of(new TraceIdentifier(
                    HexFormat.fromHexDigitsToLong(traceparent, START, MIDDLE),
                    HexFormat.fromHexDigitsToLong(traceparent, MIDDLE, END)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        HexFormat format = HexFormat.of();
        return format.toHexDigits(high) + format.toHexDigits(low);
    }
}
