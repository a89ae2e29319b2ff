package org.carawaysill.policy.fleet;

import java.util.List;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;

/** Creates the messages that pass attempts on to the nodes of copies. Stateless and thread safe. */
final class CopyRequests {

    /** The parts of a message that differ between an attempt and a question about it. Immutable and thread safe. */
    private record Terms(long rootAgeNanos, long remainingNanos, boolean lastChoice, boolean bodyFollows) {

        private static final Terms OF_A_QUESTION = new Terms(0, 0, false, false);
    }

    private CopyRequests() {}

    static CopyRequest of(
            long now,
            OutgoingRequest request,
            Copy copy,
            AttemptIdentifier attempt,
            ServiceName callerService,
            boolean lastChoice) {
        return create(
                request,
                copy,
                attempt,
                callerService,
                new Terms(
                        now - request.origin().rootArrivedNanos(),
                        request.deadlineNanos() - now,
                        lastChoice,
                        request.awaitsPlace()),
                contentToSend(request));
    }

    private static RequestContent contentToSend(OutgoingRequest request) {
        RequestContent content = request.arrival().content();
        return request.awaitsPlace()
                ? new RequestContent(content.method(), content.path(), content.headers(), Body.EMPTY)
                : content;
    }

    /**
     * Returns a message that asks whether an attempt is still at work at a node: the attempt once more, with no time
     * left. A node that has the attempt refuses the message as a duplicate; any other refuses it for its deadline and
     * never runs it.
     *
     * <p>Guards against a second run of a suspected request: it waits in a queue whose start does not check the
     * deadline. The path is that of no other request, so that no suspicion fits.
     */
    static CopyRequest question(
            OutgoingRequest request, Copy copy, AttemptIdentifier attempt, ServiceName callerService) {
        String path = "/%016x%016x".formatted(attempt.high(), attempt.low());
        return create(
                request,
                copy,
                attempt,
                callerService,
                Terms.OF_A_QUESTION,
                new RequestContent(request.arrival().content().method(), path, List.of(), Body.EMPTY));
    }

    /** Returns whether a message only asks for an attempt, or has no time left to run. */
    static boolean isQuestion(CopyRequest message) {
        return message.remainingNanos() <= 0;
    }

    private static CopyRequest create(
            OutgoingRequest request,
            Copy copy,
            AttemptIdentifier attempt,
            ServiceName callerService,
            Terms terms,
            RequestContent content) {
        return new CopyRequest(
                attempt,
                request.arrival().requestName(),
                request.service(),
                copy.record().copy(),
                callerService,
                request.origin().organisationName(),
                request.origin().rootRoute(),
                request.origin().rank(),
                request.route().idempotent(),
                request.origin().depth(),
                terms.rootAgeNanos(),
                terms.remainingNanos(),
                terms.lastChoice(),
                copy.limitPerSecond(),
                request.route().name(),
                request.origin().caller(),
                terms.bodyFollows(),
                content);
    }
}
