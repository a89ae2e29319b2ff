package org.carawaysill.protocol.link;

import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * The identity of a node, as it states in its handshake.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the node's name
 * @param service the service of its copy
 * @param incarnation the start time of its process in milliseconds since 1970
 */
record LinkIdentity(NodeName name, ServiceName service, long incarnation) {

    /** Returns whether this node, of the two, selects which of several connections carries their messages. */
    boolean selectsConnectionAgainst(LinkIdentity other) {
        return name.compareTo(other.name) < 0;
    }
}
