package org.carawaysill.policy.engine;

import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NodeName;

/** The origin of a piece of work, which waits for its outcome. Immutable and thread safe. */
sealed interface WorkOrigin {

    /**
     * A caller at the ingress.
     *
     * @param exchange the HTTP exchange to answer
     */
    record FromCaller(ExchangeIdentifier exchange) implements WorkOrigin {}

    /**
     * The local copy, during one of its own attempts.
     *
     * @param exchange the HTTP exchange to answer
     * @param parentOperation the operation of this node's service during which the copy calls
     * @param parent the attempt during which it calls, if known
     */
    record FromCopy(ExchangeIdentifier exchange, String parentOperation, Optional<AttemptIdentifier> parent)
            implements WorkOrigin {}

    /**
     * Another node.
     *
     * @param peer the other node
     * @param attempt the other node's attempt, echoed in the answer
     */
    record FromPeer(NodeName peer, AttemptIdentifier attempt) implements WorkOrigin {}
}
