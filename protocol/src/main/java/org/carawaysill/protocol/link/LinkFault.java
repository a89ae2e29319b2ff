package org.carawaysill.protocol.link;

import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Step;

/**
 * A fault of one connection; others are not touched by it.
 *
 * <p>Immutable and thread safe.
 *
 * @param kind what went wrong
 * @param peer the other node, as far as it is known
 * @param detail the address and the cause, in one line
 */
public record LinkFault(LinkFaultKind kind, Optional<NodeName> peer, String detail) {

    /**
     * Tells where the fault arose.
     *
     * @return the step
     */
    public Step step() {
        return kind.step();
    }
}
