package org.carawaysill.policy.fleet;

import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.model.request.Outcome;

/** Whether a request may run at the local copy, by what is known of crashes. Immutable and thread safe. */
sealed interface Placement {

    /** Nothing is known that speaks against it. */
    record Free() implements Placement {}

    /**
     * It is suspected, and may run here and nowhere else.
     *
     * @param fingerprint what it has in common with its other tries
     * @param alone whether no other suspect may be at the copy with it
     */
    record Here(Fingerprint fingerprint, boolean alone) implements Placement {}

    /**
     * It may not run here.
     *
     * @param refusal what its sender is told; it names the node beside the one copy at which it may run, if there is one
     */
    record Refused(Outcome.NotRun refusal) implements Placement {}
}
