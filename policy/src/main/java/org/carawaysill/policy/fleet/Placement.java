package org.carawaysill.policy.fleet;

import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.model.request.Outcome;

/** Whether a request may run at the local copy, given the known crashes. Immutable and thread safe. */
sealed interface Placement {

    /** The request is not suspected. */
    record Unsuspected() implements Placement {}

    /**
     * The request is suspected, and may run only at the local copy.
     *
     * @param fingerprint the fingerprint that all its attempts share
     * @param alone whether no other suspected request may run at the copy at the same time
     */
    record OnlyHere(Fingerprint fingerprint, boolean alone) implements Placement {}

    /**
     * The request may not run here.
     *
     * @param refusal the answer to its sender; it names the node of the only copy at which the request may run, if
     *     there is one
     */
    record Refused(Outcome.NotRun refusal) implements Placement {}
}
