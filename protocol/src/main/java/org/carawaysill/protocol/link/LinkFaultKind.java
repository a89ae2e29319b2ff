package org.carawaysill.protocol.link;

import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import org.carawaysill.model.request.Step;

/** The kinds of faults of connections between nodes; each has its own counter. Immutable and thread safe. */
public enum LinkFaultKind {
    /** No process accepted the connection at the address, or connecting took too long. */
    UNREACHABLE(Step.MEMBERSHIP),
    /** The other side did not finish the handshake in time. */
    NO_HELLO(Step.MEMBERSHIP),
    /** The first frame was not a hello of this protocol. */
    WRONG_MAGIC(Step.MEMBERSHIP),
    /** The other side uses another version of this protocol. */
    WRONG_VERSION(Step.MEMBERSHIP),
    /** The node that answered is not the one that was dialled. */
    WRONG_PEER(Step.MEMBERSHIP),
    /** The other side has this node's own name. */
    OWN_NAME(Step.MEMBERSHIP),
    /** An older process of the same name connected while a newer one is connected. */
    OLDER_INCARNATION(Step.MEMBERSHIP),
    /** A second connection of the same process, or of a second process with its name and start time. */
    DUPLICATE(Step.MEMBERSHIP),
    /** A newer process of the same name replaced a connected older one. */
    REPLACED(Step.MEMBERSHIP),
    /** The other side refused the connection; the detail gives its reason. */
    REFUSED_BY_PEER(Step.MEMBERSHIP),
    /** The peer did not reply to a probe, sent because a second connection claimed its name. */
    UNRESPONSIVE(Step.MEMBERSHIP),
    /** An incoming frame or a message to send exceeds the size limit. */
    OVERSIZE(Step.PEER_WAIT),
    /** A frame could not be decoded. */
    MALFORMED(Step.PEER_WAIT),
    /** The peer did not read the data sent to it in time. */
    SLOW_READER(Step.PEER_SEND),
    /** There was no memory to read or write a frame. */
    OUT_OF_MEMORY(Step.PEER_WAIT),
    /** Reading from the connection or writing to it failed. */
    BROKEN(Step.PEER_WAIT);

    private final Step step;

    LinkFaultKind(Step step) {
        this.step = step;
    }

    /**
     * Returns the step at which this kind of fault arises.
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
            case OutOfMemoryError _ -> OUT_OF_MEMORY;
            default -> BROKEN;
        };
    }
}
