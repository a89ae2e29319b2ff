package org.carawaysill.control.fleet;

import org.carawaysill.model.identity.NetworkAddress;

/** What came of asking a node. Immutable and thread safe. */
sealed interface NodeAnswer {

    /** Gives the address that was asked. */
    NetworkAddress admin();

    /**
     * The node answered.
     *
     * @param admin the address that was asked
     * @param report what the node says
     */
    record Reported(NetworkAddress admin, NodeReport report) implements NodeAnswer {}

    /**
     * The node did not answer, or not as a node does.
     *
     * @param admin the address that was asked
     * @param reason why, in one line
     */
    record Silent(NetworkAddress admin, String reason) implements NodeAnswer {}
}
