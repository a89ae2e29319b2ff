package org.carawaysill.policy.effect;

/** What a node believes of another. Immutable and thread safe. */
public enum PeerState {
    /** Connected and heard from. */
    LIVE,
    /** Not heard from for longer than expected. */
    SUSPECTED,
    /** Announced that it is leaving, or listed as leaving. */
    LEAVING,
    /** No connection. */
    UNREACHABLE
}
