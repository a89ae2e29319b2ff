package org.carawaysill.policy.engine;

import java.util.Optional;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RequestContent;

/**
 * The properties of a request as it reaches this node; they do not change while the node handles it.
 *
 * <p>Immutable and thread safe.
 *
 * @param request the caller's request over all its attempts
 * @param service the service that runs it
 * @param operation the operation's name
 * @param caller the caller at the entry
 * @param priority the place in the order of refusal
 * @param idempotent whether the request may run more than once
 * @param key the caller's idempotency key, if there is one
 * @param arrivedNanos when it reached this node, on the monotonic clock
 * @param deadlineNanos when its caller stops waiting, on the monotonic clock
 * @param depth hops from the entry, which is 0
 * @param content the request itself
 */
record RequestFacts(
        RequestIdentifier request,
        ServiceName service,
        String operation,
        CallerName caller,
        Priority priority,
        boolean idempotent,
        Optional<String> key,
        long arrivedNanos,
        long deadlineNanos,
        int depth,
        RequestContent content) {}
