package org.carawaysill.policy.fleet.placing;

/** How far a copy is from this node. Immutable and thread safe. */
public enum Way {
    /** On this VM. */
    OWN_VM(0),
    /** In this availability zone. */
    OWN_ZONE(0.001),
    /** In another availability zone. */
    OTHER_ZONE(0.0035),
    /** Of no concern. */
    ANY(0);

    private final double seconds;

    Way(double seconds) {
        this.seconds = seconds;
    }

    /** Returns the time there and back, with the work of passing a message on. */
    double seconds() {
        return seconds;
    }
}
