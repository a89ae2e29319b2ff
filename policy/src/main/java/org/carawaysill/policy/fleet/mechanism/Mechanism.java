package org.carawaysill.policy.fleet.mechanism;

/**
 * A part of the policy that can be switched off, so that its worth can be measured on any load.
 *
 * <p>None is needed for a promise: without it, more requests are refused, fail or come late. Immutable and thread safe.
 */
public enum Mechanism {
    /** Requests are admitted by what they cost at each service; else all are admitted. */
    ENTRY_PLAN,
    /** Only the slots of copies that may get work now count in the plan; else those of all nodes that report. */
    USABLE_SLOTS,
    /** More is planned for a service whose slots turn out to be idle. */
    IDLE_SLOTS,
    /** The last slots of a copy that slows down when nearly full stay free. */
    NEAR_FULL_LIMIT,
    /** Of equals that wait, what its caller asked for first is served first; else what is deeper, then what has less time. */
    OLDEST_FIRST,
    /** Faster copies come first while there is room. */
    COPY_SPEED,
    /** Copies in the own availability zone and on the own VM come first. */
    NEARNESS,
    /** Copies that fail more than others come last. */
    SUCCESS_WEIGHT,
    /** Cold copies count as more loaded. */
    COLD_FACTOR
}
