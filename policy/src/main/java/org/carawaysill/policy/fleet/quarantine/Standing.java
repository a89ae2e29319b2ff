package org.carawaysill.policy.fleet.quarantine;

import org.carawaysill.model.request.Fingerprint;

/** What is known of a request when it comes. Immutable and thread safe. */
public sealed interface Standing {

    /** No copy crashed under it, or a copy has answered it since. */
    record Clear() implements Standing {}

    /**
     * Copies crashed while they ran it and others.
     *
     * @param fingerprint the request
     * @param crashes how many
     */
    record Suspected(Fingerprint fingerprint, int crashes) implements Standing {

        /**
         * Returns whether one more crash under it and another suspect would still not tell which of them is the cause.
         *
         * @return whether it must run without any other suspect beside it
         */
        public boolean mustRunAlone() {
            return crashes > 1;
        }
    }

    /**
     * Copies crashed because of it.
     *
     * @param fingerprint the request
     * @param crashes how many
     * @param remainingNanos how much longer it is refused
     */
    record Quarantined(Fingerprint fingerprint, int crashes, long remainingNanos) implements Standing {}
}
