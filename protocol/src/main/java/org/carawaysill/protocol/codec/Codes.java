package org.carawaysill.protocol.codec;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.message.PeerMessage.LeaseVerdict;
import org.carawaysill.policy.message.PeerMessage.Purpose;
import org.carawaysill.protocol.generated.LeaseVerdictCode;
import org.carawaysill.protocol.generated.PurposeCode;
import org.carawaysill.protocol.generated.RefusalCode;
import org.carawaysill.protocol.generated.StepCode;
import org.carawaysill.protocol.generated.UnknownCode;
import org.jspecify.annotations.Nullable;

/**
 * Maps the model's enums to protobuf codes and back.
 *
 * <p>Invariant: each constant has its own code. The switches have no default branch, so that a constant without a code
 * is a compile error; decoding uses the inverse maps. Stateless and thread safe.
 */
final class Codes {

    private static final Map<RefusalCode, RefusalReason> REFUSALS = inverse(RefusalReason.values(), Codes::of);
    private static final Map<UnknownCode, UnknownReason> UNKNOWNS = inverse(UnknownReason.values(), Codes::of);
    private static final Map<StepCode, Step> STEPS = inverse(Step.values(), Codes::of);
    private static final Map<PurposeCode, Purpose> PURPOSES = inverse(Purpose.values(), Codes::of);
    private static final Map<LeaseVerdictCode, LeaseVerdict> VERDICTS = inverse(LeaseVerdict.values(), Codes::of);

    private Codes() {}

    static RefusalReason refusal(RefusalCode code) throws ProtocolFault {
        return requireKnown(REFUSALS.get(code), "refusal reason");
    }

    static UnknownReason unknown(UnknownCode code) throws ProtocolFault {
        return requireKnown(UNKNOWNS.get(code), "unknown reason");
    }

    static Step step(StepCode code) throws ProtocolFault {
        return requireKnown(STEPS.get(code), "step");
    }

    static Purpose purpose(PurposeCode code) throws ProtocolFault {
        return requireKnown(PURPOSES.get(code), "purpose");
    }

    static LeaseVerdict verdict(LeaseVerdictCode code) throws ProtocolFault {
        return requireKnown(VERDICTS.get(code), "lease verdict");
    }

    static LeaseVerdictCode of(LeaseVerdict verdict) {
        return switch (verdict) {
            case GRANTED -> LeaseVerdictCode.LEASE_GRANTED;
            case GRANTED_FOR_UNMOVED -> LeaseVerdictCode.LEASE_GRANTED_FOR_UNMOVED;
            case REFUSED -> LeaseVerdictCode.LEASE_REFUSED;
            case UNKNOWN_ROSTER -> LeaseVerdictCode.LEASE_UNKNOWN_ROSTER;
            case CLOCKS_APART -> LeaseVerdictCode.LEASE_CLOCKS_APART;
        };
    }

    static PurposeCode of(Purpose purpose) {
        return switch (purpose) {
            case RUN -> PurposeCode.PURPOSE_RUN;
            case HOLD -> PurposeCode.PURPOSE_HOLD;
        };
    }

    static UnknownCode of(UnknownReason reason) {
        return switch (reason) {
            case DEADLINE -> UnknownCode.UNKNOWN_DEADLINE;
            case PEER_LOST -> UnknownCode.UNKNOWN_PEER_LOST;
            case COPY_LOST -> UnknownCode.UNKNOWN_COPY_LOST;
            case TRUNCATED -> UnknownCode.UNKNOWN_TRUNCATED;
            case RESTARTED -> UnknownCode.UNKNOWN_RESTARTED;
            case EARLIER_ATTEMPT -> UnknownCode.UNKNOWN_EARLIER_ATTEMPT;
            case IDENTIFIER_TIME -> UnknownCode.UNKNOWN_IDENTIFIER_TIME;
            case HOLDER_UNREACHABLE -> UnknownCode.UNKNOWN_HOLDER_UNREACHABLE;
            case NO_LEASE -> UnknownCode.UNKNOWN_NO_LEASE;
            case COPY_CRASHED -> UnknownCode.UNKNOWN_COPY_CRASHED;
            case QUARANTINED -> UnknownCode.UNKNOWN_QUARANTINED;
            case NODE_STOPS -> UnknownCode.UNKNOWN_NODE_STOPS;
        };
    }

    static RefusalCode of(RefusalReason reason) {
        return switch (reason) {
            case RING_FULL -> RefusalCode.REFUSAL_RING_FULL;
            case UNKNOWN_OPERATION -> RefusalCode.REFUSAL_UNKNOWN_OPERATION;
            case UNKNOWN_SERVICE -> RefusalCode.REFUSAL_UNKNOWN_SERVICE;
            case NO_CONFIGURATION -> RefusalCode.REFUSAL_NO_CONFIGURATION;
            case BAD_REQUEST -> RefusalCode.REFUSAL_BAD_REQUEST;
            case QUEUE_FULL -> RefusalCode.REFUSAL_QUEUE_FULL;
            case EVICTED -> RefusalCode.REFUSAL_EVICTED;
            case DEADLINE -> RefusalCode.REFUSAL_DEADLINE;
            case OVERLOAD -> RefusalCode.REFUSAL_OVERLOAD;
            case OVERLOAD_BELOW -> RefusalCode.REFUSAL_OVERLOAD_BELOW;
            case CREDITS_SPENT -> RefusalCode.REFUSAL_CREDITS_SPENT;
            case BUDGET_SPENT -> RefusalCode.REFUSAL_BUDGET_SPENT;
            case NO_COPY -> RefusalCode.REFUSAL_NO_COPY;
            case PEER_UNREACHABLE -> RefusalCode.REFUSAL_PEER_UNREACHABLE;
            case COPY_UNREACHABLE -> RefusalCode.REFUSAL_COPY_UNREACHABLE;
            case DRAINING -> RefusalCode.REFUSAL_DRAINING;
            case HOLDER_UNREACHABLE -> RefusalCode.REFUSAL_HOLDER_UNREACHABLE;
            case NO_LEASE -> RefusalCode.REFUSAL_NO_LEASE;
            case IDENTIFIER_TOO_OLD -> RefusalCode.REFUSAL_IDENTIFIER_TOO_OLD;
            case DUPLICATE -> RefusalCode.REFUSAL_DUPLICATE;
            case CANCELLED -> RefusalCode.REFUSAL_CANCELLED;
            case HOLDER_FULL -> RefusalCode.REFUSAL_HOLDER_FULL;
            case COPY_REFUSED -> RefusalCode.REFUSAL_COPY_REFUSED;
            case QUARANTINED -> RefusalCode.REFUSAL_QUARANTINED;
            case SUSPECTED -> RefusalCode.REFUSAL_SUSPECTED;
            case KEY_MISSING -> RefusalCode.REFUSAL_KEY_MISSING;
            case KEY_UNKNOWN -> RefusalCode.REFUSAL_KEY_UNKNOWN;
            case KEY_UNVERIFIED -> RefusalCode.REFUSAL_KEY_UNVERIFIED;
            case OVER_ALLOWANCE -> RefusalCode.REFUSAL_OVER_ALLOWANCE;
            case COPY_RATE_LIMITED -> RefusalCode.REFUSAL_COPY_RATE_LIMITED;
        };
    }

    static StepCode of(Step step) {
        return switch (step) {
            case INGRESS -> StepCode.STEP_INGRESS;
            case ADMISSION -> StepCode.STEP_ADMISSION;
            case QUEUE -> StepCode.STEP_QUEUE;
            case ROUTING -> StepCode.STEP_ROUTING;
            case PEER_SEND -> StepCode.STEP_PEER_SEND;
            case PEER_WAIT -> StepCode.STEP_PEER_WAIT;
            case COPY_CONNECT -> StepCode.STEP_COPY_CONNECT;
            case COPY_WRITE -> StepCode.STEP_COPY_WRITE;
            case COPY_WAIT -> StepCode.STEP_COPY_WAIT;
            case OWNERSHIP -> StepCode.STEP_OWNERSHIP;
            case CONFIGURATION -> StepCode.STEP_CONFIGURATION;
            case VM_LIST -> StepCode.STEP_VM_LIST;
            case DRAIN -> StepCode.STEP_DRAIN;
            case MEMBERSHIP -> StepCode.STEP_MEMBERSHIP;
        };
    }

    private static <E, C> Map<C, E> inverse(E[] constants, Function<E, C> codes) {
        return Arrays.stream(constants).collect(Collectors.toUnmodifiableMap(codes, Function.identity()));
    }

    private static <E> E requireKnown(@Nullable E constant, String field) throws ProtocolFault {
        if (constant == null) {
            throw new ProtocolFault(ProtocolFault.Kind.UNKNOWN_CODE, field);
        }
        return constant;
    }
}
