package org.carawaysill.node.exchange;

import org.carawaysill.model.request.RequestContent;
import org.carawaysill.node.observation.BadRequest;

/** The result of reading a request. Immutable and thread safe. */
sealed interface ReadResult {

    /**
     * The request is complete.
     *
     * @param content the request
     */
    record Complete(RequestContent content) implements ReadResult {}

    /**
     * The request is refused, and the rest of it is not processed.
     *
     * @param kind what is wrong
     * @param detail what is wrong, in one line
     */
    record Bad(BadRequest kind, String detail) implements ReadResult {}

    /** The connection ended before the request was complete. */
    record Disconnected() implements ReadResult {}
}
