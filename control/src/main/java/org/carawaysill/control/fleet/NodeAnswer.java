package org.carawaysill.control.fleet;

import org.carawaysill.model.identity.NetworkAddress;

/** The result of asking a node for its state. Immutable and thread safe. */
sealed interface NodeAnswer {

    /** Returns the address that was asked. */
    NetworkAddress admin();

    /**
     * The node answered.
     *
     * @param admin the address that was asked
     * @param report the report of the node
     */
    record Reported(NetworkAddress admin, NodeReport report) implements NodeAnswer {}

    /**
     * The node did not answer, or its answer was not that of a node.
     *
     * @param admin the address that was asked
     * @param reason the reason, in one line
     */
    record Silent(NetworkAddress admin, String reason) implements NodeAnswer {}
}
