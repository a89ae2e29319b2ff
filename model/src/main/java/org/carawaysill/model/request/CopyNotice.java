package org.carawaysill.model.request;

/**
 * What an answer of a copy states about the copy itself.
 *
 * <p>Immutable and thread safe.
 *
 * @param rate how many requests the copy takes
 * @param leaving whether the copy's process ends soon and takes no more requests
 */
public record CopyNotice(Rate rate, boolean leaving) {

    /** The notice of an answer without any of these statements. */
    public static final CopyNotice NONE = new CopyNotice(new Rate.Unlimited(), false);

    /** How many requests a copy takes from all nodes together, as one answer states it. Immutable and thread safe. */
    public sealed interface Rate {

        /** The answer names no limit; one that was named before has ended. */
        record Unlimited() implements Rate {}

        /**
         * The answer names a limit.
         *
         * @param requestsPerSecond the limit, finite and not negative
         */
        record Limited(double requestsPerSecond) implements Rate {

            public Limited {
                if (!Double.isFinite(requestsPerSecond) || requestsPerSecond < 0) {
                    throw new IllegalArgumentException("a rate of " + requestsPerSecond + " is not a limit");
                }
            }
        }

        /** The answer names a limit that can't be read; what is known of the limit stays as it is. */
        record Unreadable() implements Rate {}
    }
}
