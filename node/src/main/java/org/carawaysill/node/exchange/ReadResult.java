package org.carawaysill.node.exchange;

import org.carawaysill.model.request.RequestContent;
import org.carawaysill.node.observation.BadRequest;

/** What reading a request came to. Immutable and thread safe. */
sealed interface ReadResult {

    /**
     * The request arrived whole.
     *
     * @param content the request
     */
    record Whole(RequestContent content) implements ReadResult {}

    /**
     * The request is refused without a look at the rest of it.
     *
     * @param kind what is wrong
     * @param detail what is wrong, in one line
     */
    record Bad(BadRequest kind, String detail) implements ReadResult {}

    /** The connection ended before the request did. */
    record Gone() implements ReadResult {}
}
