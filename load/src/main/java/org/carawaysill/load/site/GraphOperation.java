package org.carawaysill.load.site;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import org.carawaysill.model.identity.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * An operation of a service: its own work and its calls.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the operation's name
 * @param method the HTTP method
 * @param path the HTTP path
 * @param idempotent whether it may run more than once
 * @param serviceMilliseconds the mean service time of the copy's own work
 * @param calls the calls that it makes, one after the other
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record GraphOperation(
        String name,
        String method,
        String path,
        boolean idempotent,
        double serviceMilliseconds,
        @Nullable List<Call> calls) {

    GraphOperation {
        calls = calls == null ? List.of() : List.copyOf(calls);
    }

    GraphOperation withServiceMilliseconds(double milliseconds) {
        return new GraphOperation(name, method, path, idempotent, milliseconds, calls);
    }

    /** A call to a deeper service. Immutable and thread safe. */
    record Call(ServiceName service, String method, String path) {}
}
