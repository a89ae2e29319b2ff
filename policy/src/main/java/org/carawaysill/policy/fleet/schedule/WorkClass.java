package org.carawaysill.policy.fleet.schedule;

/** A class of work at a copy, by how long its callers can wait. Immutable and thread safe. */
public enum WorkClass {
    /** Routes with the shortest timeouts of the service. */
    SHORT,
    /** All other routes. */
    LONG
}
