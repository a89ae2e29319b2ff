package org.carawaysill.policy.admission;

/**
 * Settings of {@link CopyAdmission}.
 *
 * <p>Immutable and thread safe.
 *
 * @param queuePerSlot how many requests may wait for each slot
 */
public record AdmissionSettings(double queuePerSlot) {

    /** What holds unless a node's settings say otherwise. */
    public static final AdmissionSettings DEFAULTS = new AdmissionSettings(2.0);
}
