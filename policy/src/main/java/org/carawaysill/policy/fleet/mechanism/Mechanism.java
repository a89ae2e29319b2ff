package org.carawaysill.policy.fleet.mechanism;

/**
 * A part of the policy that can be switched off, so that its effect can be measured under any load.
 *
 * <p>No guarantee depends on any of them: without one, more requests are refused, fail or are late. Immutable and
 * thread safe.
 */
public enum Mechanism {
    /** Admits requests by what they cost at each service; without it, all are admitted. */
    ENTRY_PLAN,
    /**
     * Counts only the slots of copies that may receive requests in the plan; without it, those of all reporting nodes.
     */
    USABLE_SLOTS,
    /** Plans for more slots of a service while some of its slots are idle. */
    IDLE_SLOTS,
    /** Leaves the last slots of a copy free that slows down when nearly full. */
    NEAR_FULL_LIMIT,
    /** Serves requests of equal rank by the age of their root request; without it, by depth, then by deadline. */
    OLDEST_FIRST,
    /** Prefers faster copies while slots are idle. */
    COPY_SPEED,
    /** Prefers copies in the same availability zone and on the same VM. */
    NEARNESS,
    /** Prefers copies that fail less than others. */
    SUCCESS_WEIGHT,
    /** Counts cold copies as more loaded. */
    COLD_FACTOR,
    /** Sends a large body only once the copy's node has granted a place for it, and prefers near copies for it. */
    BODY_PLACES,
    /** Divides the slots of a copy between short and long work where its service does both. */
    WORK_CLASSES,
    /** Chooses the copy by the expected time to completion where its service does both short and long work. */
    EXPECTED_COMPLETION,
    /** Admits callers of some nodes who ask for several times the mean by equal rates, at services with mixed work. */
    CALLER_SHARES
}
