package org.carawaysill.policy.fleet.quarantine;

import org.carawaysill.model.request.Fingerprint;

/** Whether a request is suspected or quarantined, as known when it arrives. Immutable and thread safe. */
public sealed interface SuspicionState {

    /** No copy crashed while it ran the request, or a copy has answered it since. */
    record Clear() implements SuspicionState {}

    /**
     * Copies crashed while they ran the request together with others.
     *
     * @param fingerprint the request's fingerprint
     * @param crashes the number of crashes
     */
    record Suspected(Fingerprint fingerprint, int crashes) implements SuspicionState {

        /**
         * Returns whether the request must run alone, because one more crash of a copy that runs it and another suspect
         * would still not show which of them is the cause.
         *
         * @return whether it must run without any other suspect
         */
        public boolean mustRunAlone() {
            return crashes > 1;
        }
    }

    /**
     * Copies crashed because of the request.
     *
     * @param fingerprint the request's fingerprint
     * @param crashes the number of crashes
     * @param remainingNanos for how much longer it is refused
     */
    record Quarantined(Fingerprint fingerprint, int crashes, long remainingNanos) implements SuspicionState {}
}
