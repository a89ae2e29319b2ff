package org.carawaysill.policy.membership;

import java.time.Duration;

/**
 * How a node watches others.
 *
 * <p>Immutable and thread safe.
 *
 * @param heartbeatInterval between heartbeats to a node of the own service
 * @param suspicionTimeout the silence after which a node is suspected
 */
public record MembershipSettings(Duration heartbeatInterval, Duration suspicionTimeout) {

    /** The settings that the decision records argue for. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(Duration.ofSeconds(1), Duration.ofSeconds(3));
}
