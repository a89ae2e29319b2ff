package org.carawaysill.protocol.codec;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.protocol.generated.NotRunFrame;
import org.carawaysill.protocol.generated.OutcomeFrame;
import org.carawaysill.protocol.generated.UnknownFrame;

/** Encodes and decodes the outcomes of requests. Stateless and thread safe. */
final class OutcomeCodec {

    private static final Outcome NO_VALID_ANSWER =
            new Outcome.Unknown(UnknownReason.TRUNCATED, Step.COPY_WAIT, Optional.empty());

    private OutcomeCodec() {}

    static OutcomeFrame encode(Outcome outcome) {
        OutcomeFrame.Builder frame = OutcomeFrame.newBuilder();
        return switch (outcome) {
            case Outcome.Answered answered ->
                frame.setAnswered(ContentCodec.encode(answered.content())).build();
            case Outcome.NotRun notRun -> frame.setNotRun(encode(notRun)).build();
            case Outcome.Unknown unknown -> frame.setUnknown(encode(unknown)).build();
        };
    }

    private static NotRunFrame encode(Outcome.NotRun notRun) {
        NotRunFrame.Builder frame = NotRunFrame.newBuilder()
                .setReason(Codes.of(notRun.reason()))
                .setRetryAfterNanos(Fields.clampedNanos(notRun.retryAfter()))
                .setStep(Codes.of(notRun.step()));
        notRun.peer().map(NodeName::value).ifPresent(frame::setPeer);
        return frame.build();
    }

    private static UnknownFrame encode(Outcome.Unknown unknown) {
        UnknownFrame.Builder frame =
                UnknownFrame.newBuilder().setReason(Codes.of(unknown.reason())).setStep(Codes.of(unknown.step()));
        unknown.peer().map(NodeName::value).ifPresent(frame::setPeer);
        return frame.build();
    }

    static Outcome decode(OutcomeFrame frame) throws ProtocolFault {
        return switch (frame.getKindCase()) {
            case ANSWERED ->
                ContentCodec.decode(frame.getAnswered())
                        .<Outcome>map(Outcome.Answered::new)
                        .orElse(NO_VALID_ANSWER);
            case NOT_RUN -> decode(frame.getNotRun());
            case UNKNOWN -> decode(frame.getUnknown());
            case KIND_NOT_SET -> throw new ProtocolFault(ProtocolFault.Kind.MISSING, "outcome");
        };
    }

    private static Outcome decode(NotRunFrame frame) throws ProtocolFault {
        return new Outcome.NotRun(
                Codes.refusal(frame.getReason()),
                Duration.ofNanos(Fields.durationNanos(frame.getRetryAfterNanos(), "retry after")),
                Codes.step(frame.getStep()),
                peer(frame.hasPeer(), frame.getPeer()));
    }

    private static Outcome decode(UnknownFrame frame) throws ProtocolFault {
        return new Outcome.Unknown(
                Codes.unknown(frame.getReason()), Codes.step(frame.getStep()), peer(frame.hasPeer(), frame.getPeer()));
    }

    private static Optional<NodeName> peer(boolean present, String name) throws ProtocolFault {
        return present ? Optional.of(new NodeName(Fields.notBlank(name, "peer"))) : Optional.empty();
    }
}
