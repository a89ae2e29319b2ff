package org.carawaysill.standin.upstream;

import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A request as received by the copy.
 *
 * <p>Immutable; used on the event loop only.
 *
 * @param match its operation
 * @param trace its trace identifier, if it carries one
 * @param traceparent the header to pass on
 * @param attempt the header {@code Carawaysill-Attempt} to pass on
 * @param deadlineNanos the monotonic time at which its caller gives up
 */
record CopyRequest(
        ServiceGraph.Match match,
        Optional<TraceIdentifier> trace,
        Optional<String> traceparent,
        Optional<String> attempt,
        OptionalLong deadlineNanos) {

    static final String TRACE_PARENT = "traceparent";
    static final String ATTEMPT = "Carawaysill-Attempt";
    private static final String DEADLINE = "Carawaysill-Deadline-Milliseconds";

    static CopyRequest of(HttpServerRequest request, ServiceGraph.Match match, long nowNanos) {
        Optional<String> traceparent = Optional.ofNullable(request.getHeader(TRACE_PARENT));
        return new CopyRequest(
                match,
                traceparent.flatMap(TraceIdentifier::parse),
                traceparent,
                Optional.ofNullable(request.getHeader(ATTEMPT)),
                deadline(request.getHeader(DEADLINE), nowNanos));
    }

    /**
     * Returns whether the caller has given up.
     *
     * @param nowNanos the monotonic time
     * @return whether the deadline has passed
     */
    boolean isTooLate(long nowNanos) {
        return deadlineNanos.isPresent() && deadlineNanos.getAsLong() - nowNanos <= 0;
    }

    String traceText() {
        return trace.map(TraceIdentifier::toString).orElse("none");
    }

    private static OptionalLong deadline(@Nullable String header, long nowNanos) {
        if (header == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(nowNanos + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(header)));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
