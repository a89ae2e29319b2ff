package org.carawaysill.protocol.link;

import org.carawaysill.protocol.generated.Frame;

/** The purpose of traffic between nodes; requests and answers are payload, all other kinds are control traffic. */
public enum TrafficKind {
    /** Handshakes and probes. */
    LINK,
    /** Requests. */
    REQUEST,
    /** Answers. */
    ANSWER,
    /** Cancellations and withdrawals. */
    CANCELLATION,
    /** Drain notices. */
    DRAIN,
    /** Heartbeats. */
    HEARTBEAT,
    /** Lease requests and replies. */
    LEASE,
    /** Handovers of a holder's table. */
    HANDOVER,
    /** Configuration relayed between nodes. */
    CONFIGURATION,
    /** Reports of load and demand. */
    REPORT,
    /** Suspicions: requests that may have crashed copies. */
    SUSPICION;

    static TrafficKind of(Frame frame) {
        return switch (frame.getKindCase()) {
            case HELLO, ACCEPTED, REFUSED, PROBE, PROBE_REPLY, KIND_NOT_SET -> LINK;
            case PEER_REQUEST, COPY_REQUEST, ATTEMPT_BODY -> REQUEST;
            case PEER_ANSWER, COPY_ANSWER, PLACE_GRANTED -> ANSWER;
            case CANCEL_ATTEMPT, WITHDRAW_ATTEMPT -> CANCELLATION;
            case DRAIN_NOTICE -> DRAIN;
            case HEARTBEAT -> HEARTBEAT;
            case LEASE_REQUEST, LEASE_REPLY -> LEASE;
            case HOLDER_HANDOVER -> HANDOVER;
            case CONFIGURATION_WANTED, CONFIGURATION_DOCUMENT, CONFIGURATION_CHANGE, ENTRIES_WANTED, ENTRIES ->
                CONFIGURATION;
            case NODE_REPORT, REPORT_WANTED, GROUP_SUMMARY, FLEET_SUMMARY -> REPORT;
            case SUSPICIONS -> SUSPICION;
        };
    }
}
