package org.carawaysill.model.error;

import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Step;

/**
 * A failure that carries the step and the peer at which it arose; it usually completes a future exceptionally.
 *
 * <p>Immutable but for what {@link Throwable} itself keeps, and thread safe.
 */
public final class CarawaysillException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Step step;

    private final transient Optional<NodeName> peer;

    /**
     * Describes a failure without a cause.
     *
     * @param step where it arose
     * @param peer the other node, if one was involved
     * @param message what failed, in one line
     */
    public CarawaysillException(Step step, Optional<NodeName> peer, String message) {
        super(message);
        this.step = step;
        this.peer = peer;
    }

    /**
     * Describes a failure that another one caused.
     *
     * @param step where it arose
     * @param peer the other node, if one was involved
     * @param message what failed, in one line
     * @param cause what caused it
     */
    public CarawaysillException(Step step, Optional<NodeName> peer, String message, Throwable cause) {
        super(message, cause);
        this.step = step;
        this.peer = peer;
    }

    /**
     * Tells where the failure arose.
     *
     * @return the step
     */
    public Step step() {
        return step;
    }

    /**
     * Tells which other node was involved.
     *
     * @return the node, if there was one
     */
    public Optional<NodeName> peer() {
        return peer;
    }

    @Override
    public String toString() {
        return "step=" + step + " peer=" + peer.map(NodeName::value).orElse("-") + " " + getMessage();
    }
}
