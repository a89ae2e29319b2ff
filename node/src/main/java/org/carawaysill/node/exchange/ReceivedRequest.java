package org.carawaysill.node.exchange;

import io.vertx.core.MultiMap;
import java.util.Optional;
import org.carawaysill.model.request.RequestContent;

/**
 * A complete request with all its header fields.
 *
 * <p>Not thread safe: confined to the event loop.
 *
 * @param content the request as it is forwarded
 * @param fields all received header fields
 */
record ReceivedRequest(RequestContent content, MultiMap fields) {

    Optional<String> header(String name) {
        return Optional.ofNullable(fields.get(name)).filter(value -> !value.isBlank());
    }
}
