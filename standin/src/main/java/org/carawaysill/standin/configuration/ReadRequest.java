package org.carawaysill.standin.configuration;

import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.OptionalLong;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.standin.http.BadRequestException;

/**
 * A reader's request for a document.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service whose document it reads
 * @param after the version that the reader has, or {@link #NO_VERSION}
 * @param waitMilliseconds how long the reader waits for a newer version
 */
record ReadRequest(ServiceName service, long after, long waitMilliseconds) {

    /** The header that carries the version of an answer. */
    static final String VERSION_HEADER = "Configuration-Version";

    private static final long NO_VERSION = 0;
    private static final String AFTER = "after";
    private static final String WAIT = "wait-milliseconds";

    static ReadRequest of(RoutingContext context) {
        long after = number(AFTER, context.queryParam(AFTER)).orElse(NO_VERSION);
        long wait = number(WAIT, context.queryParam(WAIT)).orElse(0);
        return new ReadRequest(service(context), after, wait);
    }

    static ServiceName service(RoutingContext context) {
        String name = context.pathParam("service");
        if (name.isBlank()) {
            throw new BadRequestException("the service's name must not be blank");
        }
        return new ServiceName(name);
    }

    static OptionalLong expectedVersion(RoutingContext context) {
        return number("If-Version", context.request().headers().getAll("If-Version"));
    }

    boolean isWatch() {
        return waitMilliseconds > 0;
    }

    boolean isOlderThan(PublishedDocument document) {
        return document.version() > after;
    }

    private static OptionalLong number(String name, List<String> values) {
        if (values.isEmpty()) {
            return OptionalLong.empty();
        }
        try {
            long number = Long.parseLong(values.getFirst());
            if (number >= 0) {
                return OptionalLong.of(number);
            }
        } catch (NumberFormatException e) {
            // reported below, like a negative number
        }
        throw new BadRequestException(name + " must be a whole number of at least 0");
    }
}
