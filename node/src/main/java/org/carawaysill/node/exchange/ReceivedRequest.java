package org.carawaysill.node.exchange;

import io.vertx.core.MultiMap;
import java.util.Optional;
import org.carawaysill.model.request.RequestContent;

/**
 * A whole request with all its header fields.
 *
 * <p>Confined to the event loop.
 *
 * @param content the request as it passes on
 * @param fields all fields as they came
 */
record ReceivedRequest(RequestContent content, MultiMap fields) {

    Optional<String> header(String name) {
        return Optional.ofNullable(fields.get(name)).filter(value -> !value.isBlank());
    }
}
