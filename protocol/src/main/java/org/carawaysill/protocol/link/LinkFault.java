package org.carawaysill.protocol.link;

import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Step;

/**
 * A fault of one connection; it does not affect others.
 *
 * <p>Immutable and thread safe.
 *
 * @param kind what went wrong
 * @param peer the other node, if known
 * @param detail the address and the cause, in one line
 */
public record LinkFault(LinkFaultKind kind, Optional<NodeName> peer, String detail) {

    /**
     * Returns the step at which the fault arose.
     *
     * @return the step
     */
    public Step step() {
        return kind.step();
    }
}
