package org.carawaysill.model.vm;

/** The platform's state of a VM. Immutable and thread safe. */
public enum VmState {
    /** The VM runs. */
    LIVE,
    /** The VM will stop soon. */
    LEAVING
}
