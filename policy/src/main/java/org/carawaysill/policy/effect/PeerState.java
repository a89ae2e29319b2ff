package org.carawaysill.policy.effect;

/** The state of another node as this node knows it. Immutable and thread safe. */
public enum PeerState {
    /** Connected, and its messages arrive in time. */
    LIVE,
    /** Connected, but silent for longer than the timeout. */
    SUSPECTED,
    /** Announced that it is leaving, or shown as leaving in the list of VMs. */
    LEAVING,
    /** Not connected. */
    UNREACHABLE
}
