package org.carawaysill.protocol.link;

import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import org.carawaysill.model.request.Step;

/** What can go wrong with a connection between nodes; each kind has its own counter. Immutable and thread safe. */
public enum LinkFaultKind {
    /** Nothing answered at the address, or the dial took too long. */
    UNREACHABLE(Step.MEMBERSHIP),
    /** The other side did not finish the greeting in time. */
    NO_HELLO(Step.MEMBERSHIP),
    /** The first frame was not a greeting of this protocol. */
    WRONG_MAGIC(Step.MEMBERSHIP),
    /** The other side speaks another version of this protocol. */
    WRONG_VERSION(Step.MEMBERSHIP),
    /** The node that greeted is not the one that was dialled. */
    WRONG_PEER(Step.MEMBERSHIP),
    /** The other side greeted with this node's own name. */
    OWN_NAME(Step.MEMBERSHIP),
    /** An older process of the name greeted while a newer one is connected. */
    OLDER_INCARNATION(Step.MEMBERSHIP),
    /** A second connection of the same process, or of a second process with its name and start time. */
    DUPLICATE(Step.MEMBERSHIP),
    /** A newer process of the name took the place of a connected older one. */
    REPLACED(Step.MEMBERSHIP),
    /** The other side refused the greeting; the detail gives its reason. */
    REFUSED_BY_PEER(Step.MEMBERSHIP),
    /** The peer did not answer a probe while a second connection asked for its place. */
    UNRESPONSIVE(Step.MEMBERSHIP),
    /** An arriving frame, or a message to be sent, is larger than the limit. */
    OVERSIZE(Step.PEER_WAIT),
    /** A frame could not be decoded. */
    MALFORMED(Step.PEER_WAIT),
    /** The peer did not read what was sent to it in time. */
    SLOW_READER(Step.PEER_SEND),
    /** Reading from the connection or writing to it failed. */
    BROKEN(Step.PEER_WAIT);

    private final Step step;

    LinkFaultKind(Step step) {
        this.step = step;
    }

    /**
     * Tells where such a fault arises.
     *
     * @return the step
     */
    public Step step() {
        return step;
    }

    static LinkFaultKind of(Throwable cause) {
        return switch (cause) {
            case TooLongFrameException _ -> OVERSIZE;
            case CorruptedFrameException _ -> MALFORMED;
            default -> BROKEN;
        };
    }
}
