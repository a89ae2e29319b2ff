package org.carawaysill.node.observation;

import org.carawaysill.model.request.RefusalReason;

/** Why a request was rejected before it became an event. Each reason has its own counter. Immutable and thread safe. */
public enum BadRequest {
    /** The request violates the protocol. */
    MALFORMED(400, RefusalReason.BAD_REQUEST),
    /** The framing of the body is not supported by the node. */
    FRAMING(400, RefusalReason.BAD_REQUEST),
    /** A header field that must occur once has several values. */
    AMBIGUOUS_HEADER(400, RefusalReason.BAD_REQUEST),
    /** The path names no service. */
    NO_SERVICE_IN_PATH(404, RefusalReason.BAD_REQUEST),
    /** The request head was not complete in time. */
    HEAD_TOO_SLOW(408, RefusalReason.BAD_REQUEST),
    /** The request body was not complete in time. */
    BODY_TOO_SLOW(408, RefusalReason.BAD_REQUEST),
    /** The request body is larger than the limit. */
    BODY_TOO_LARGE(413, RefusalReason.BAD_REQUEST),
    /** The request line is longer than the limit. */
    LINE_TOO_LONG(414, RefusalReason.BAD_REQUEST),
    /** The header fields are larger than the limit. */
    HEADERS_TOO_LARGE(431, RefusalReason.BAD_REQUEST),
    /** The bodies of open exchanges fill the memory that the node reserves for them. */
    BODIES_FILL_MEMORY(503, RefusalReason.RING_FULL),
    /** All that clients hold fills the memory that the node reserves for it. */
    REQUESTS_FILL_MEMORY(503, RefusalReason.RING_FULL);

    private final int status;

    private final RefusalReason reason;

    BadRequest(int status, RefusalReason reason) {
        this.status = status;
        this.reason = reason;
    }

    /**
     * Returns the HTTP status of the answer.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the reason that is sent to the caller.
     *
     * @return the reason
     */
    public RefusalReason reason() {
        return reason;
    }
}
