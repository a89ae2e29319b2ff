package org.carawaysill.model.vm;

/** The state of a VM according to the platform. Immutable and thread safe. */
public enum VmState {
    /** The VM runs. */
    LIVE,
    /** The VM will stop soon. */
    LEAVING
}
