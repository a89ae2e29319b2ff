package org.carawaysill.protocol.codec;

import java.util.Optional;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.request.Priority;
import org.carawaysill.policy.message.PeerMessage.CancelAttempt;
import org.carawaysill.policy.message.PeerMessage.PeerAnswer;
import org.carawaysill.policy.message.PeerMessage.PeerRequest;
import org.carawaysill.protocol.generated.CancelAttemptFrame;
import org.carawaysill.protocol.generated.PeerAnswerFrame;
import org.carawaysill.protocol.generated.PeerRequestFrame;

/** Encodes and decodes requests, their answers and their cancellation. Stateless and thread safe. */
final class RequestCodec {

    private RequestCodec() {}

    static PeerRequestFrame encode(PeerRequest request) {
        PeerRequestFrame.Builder frame = PeerRequestFrame.newBuilder()
                .setAttempt(Fields.identifier(request.attempt()))
                .setRequest(Fields.identifier(request.request()))
                .setService(request.service().value())
                .setOperation(request.operation())
                .setCaller(request.caller().value())
                .setPriority(request.priority().level())
                .setIdempotent(request.idempotent())
                .setRetryCredits(request.retryCredits())
                .setRemainingNanos(Fields.clampedNanos(request.remainingNanos()))
                .setDepth(request.depth())
                .setPurpose(Codes.of(request.purpose()))
                .setContent(ContentCodec.encode(request.content()));
        request.key().ifPresent(frame::setKey);
        return frame.build();
    }

    static PeerRequest decode(PeerRequestFrame frame) throws ProtocolFault {
        Fields.requirePresent(frame.hasContent(), "content");
        return new PeerRequest(
                Fields.attempt(frame.hasAttempt(), frame.getAttempt()),
                Fields.request(frame.hasRequest(), frame.getRequest()),
                Fields.service(frame.getService()),
                frame.getOperation(),
                new CallerName(Fields.notBlank(frame.getCaller(), "caller")),
                new Priority(Fields.inRange(frame.getPriority(), 0, Priority.MAXIMUM, "priority")),
                frame.getIdempotent(),
                frame.hasKey() ? Optional.of(frame.getKey()) : Optional.empty(),
                Fields.notNegative(frame.getRetryCredits(), "retry credits"),
                Fields.durationNanos(frame.getRemainingNanos(), "remaining time"),
                Fields.notNegative(frame.getDepth(), "depth"),
                Codes.purpose(frame.getPurpose()),
                ContentCodec.decode(frame.getContent()));
    }

    static PeerAnswerFrame encode(PeerAnswer answer) {
        return PeerAnswerFrame.newBuilder()
                .setAttempt(Fields.identifier(answer.attempt()))
                .setOutcome(OutcomeCodec.encode(answer.outcome()))
                .setUnspentCredits(answer.unspentCredits())
                .setLoad(LoadCodec.encode(answer.load()))
                .addAllCuts(LoadCodec.encode(answer.cuts()))
                .build();
    }

    static PeerAnswer decode(PeerAnswerFrame frame) throws ProtocolFault {
        return new PeerAnswer(
                Fields.attempt(frame.hasAttempt(), frame.getAttempt()),
                OutcomeCodec.decode(frame.getOutcome()),
                Fields.notNegative(frame.getUnspentCredits(), "unspent credits"),
                LoadCodec.decode(frame.hasLoad(), frame.getLoad()),
                LoadCodec.decode(frame.getCutsList()));
    }

    static CancelAttemptFrame encode(CancelAttempt cancel) {
        return CancelAttemptFrame.newBuilder()
                .setAttempt(Fields.identifier(cancel.attempt()))
                .build();
    }

    static CancelAttempt decode(CancelAttemptFrame frame) throws ProtocolFault {
        return new CancelAttempt(Fields.attempt(frame.hasAttempt(), frame.getAttempt()));
    }
}
