package org.carawaysill.model.error;

import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Step;

/**
 * A failure with the step and the peer at which it arose; usually the cause of an exceptionally completed future.
 *
 * <p>Immutable except for the state of {@link Throwable} itself; thread safe.
 */
public final class CarawaysillException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Step step;

    private final transient Optional<NodeName> peer;

    /**
     * Creates a failure without a cause.
     *
     * @param step the step at which it arose
     * @param peer the other node, if one was involved
     * @param message what failed, in one line
     */
    public CarawaysillException(Step step, Optional<NodeName> peer, String message) {
        super(message);
        this.step = step;
        this.peer = peer;
    }

    /**
     * Creates a failure with a cause.
     *
     * @param step the step at which it arose
     * @param peer the other node, if one was involved
     * @param message what failed, in one line
     * @param cause the cause
     */
    public CarawaysillException(Step step, Optional<NodeName> peer, String message, Throwable cause) {
        super(message, cause);
        this.step = step;
        this.peer = peer;
    }

    /**
     * Returns the step at which the failure arose.
     *
     * @return the step
     */
    public Step step() {
        return step;
    }

    /**
     * Returns the other node that was involved.
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
