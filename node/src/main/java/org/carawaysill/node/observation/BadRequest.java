package org.carawaysill.node.observation;

import org.carawaysill.model.request.RefusalReason;

/** Why a request never became an event; each has its own counter. Immutable and thread safe. */
public enum BadRequest {
    /** It does not follow the protocol. */
    MALFORMED(400, RefusalReason.BAD_REQUEST),
    /** Its body is framed in a way that the node does not take. */
    FRAMING(400, RefusalReason.BAD_REQUEST),
    /** A header that must be there once came with several values. */
    AMBIGUOUS_HEADER(400, RefusalReason.BAD_REQUEST),
    /** Its path does not name a service. */
    NO_SERVICE_IN_PATH(404, RefusalReason.BAD_REQUEST),
    /** Its head did not end in time. */
    HEAD_TOO_SLOW(408, RefusalReason.BAD_REQUEST),
    /** Its body did not end in time. */
    BODY_TOO_SLOW(408, RefusalReason.BAD_REQUEST),
    /** Its body is larger than the limit. */
    BODY_TOO_LARGE(413, RefusalReason.BAD_REQUEST),
    /** Its request line is longer than the limit. */
    LINE_TOO_LONG(414, RefusalReason.BAD_REQUEST),
    /** Its header fields are larger than the limit. */
    HEADERS_TOO_LARGE(431, RefusalReason.BAD_REQUEST),
    /** The bodies of the open exchanges fill the memory that the node keeps for them. */
    BODIES_FILL_MEMORY(503, RefusalReason.RING_FULL);

    private final int status;

    private final RefusalReason reason;

    BadRequest(int status, RefusalReason reason) {
        this.status = status;
        this.reason = reason;
    }

    /**
     * Gives the HTTP status of the answer.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Gives the reason that the caller is told.
     *
     * @return the reason
     */
    public RefusalReason reason() {
        return reason;
    }
}
