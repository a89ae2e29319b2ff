package org.carawaysill.node.fleet;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.node.observation.BadRequest;
import org.carawaysill.node.observation.ConnectionEnd;
import org.carawaysill.policy.fleet.Decision;
import org.tinylog.Logger;

/**
 * Writes one line for each decision: its kind, what it is about, the inputs and the outcome.
 *
 * <p>Invariants: no more lines of one kind a second than its bound, and what was left out is told by number; an entry is
 * one line, whatever a value holds. The writer has a thread of its own, so that nobody waits for the console. Confined to
 * the event loop.
 */
public final class DecisionLog implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "decisions";

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final Map<Kind, Integer> written = new EnumMap<>(Kind.class);
    private final Map<Kind, Integer> omitted = new EnumMap<>(Kind.class);
    private long secondNanos = System.nanoTime();

    /** What a line is about, with its bound in lines a second: what explains a failure is kept longest. */
    private enum Kind {
        /** An attempt was handed over. */
        SENT(1),
        /** A copy answered. */
        ANSWERED(1),
        /** No copy ran it, since the service is overloaded. */
        REFUSED(5),
        /** It failed otherwise. */
        FAILED(10),
        /** Another attempt follows. */
        RETRIED(5),
        /** It failed at or before the local copy. */
        FAILED_AT_COPY(5),
        /** Its connection to the local copy ended before its answer. */
        COPY_CONNECTION(20),
        /** It was held, sent elsewhere or refused, since copies crashed under it. */
        SUSPECT(10),
        /** The client left. */
        ABANDONED(3),
        /** It was malformed. */
        BAD_REQUEST(5),
        /** A copy leaves or is gone: a node that has just started writes a line for each copy, which must not crowd it out. */
        COPY_LEAVES(60),
        /** The local copy crashed, or more is known of a request under which copies crashed. */
        CRASH(60),
        /** The node believes something else now. */
        BELIEF(60);

        private final int linesPerSecond;

        Kind(int linesPerSecond) {
            this.linesPerSecond = linesPerSecond;
        }
    }

    @Override
    public String name() {
        return NAME;
    }

    /**
     * Writes a decision, unless too many of its kind were written this second.
     *
     * @param decision the decision
     */
    public void write(Decision decision) {
        Kind kind = kind(decision);
        if (admit(kind)) {
            String name = decision.getClass().getSimpleName();
            Logger.info("decision={} subject={} {}", name, oneLine(decision.subject()), oneLine(decision.fields()));
        }
    }

    /**
     * Writes that a request was refused before it became an event.
     *
     * @param requestName the client's name for it, if it was read
     * @param kind what is wrong with it
     */
    public void badRequest(String requestName, BadRequest kind) {
        if (admit(Kind.BAD_REQUEST)) {
            Logger.info(
                    "decision=BadRequest subject={} reason={} status={}", oneLine(requestName), kind, kind.status());
        }
    }

    /**
     * Writes that a connection to the local copy ended while a request was at work on it.
     *
     * @param requestName the request
     * @param copy the copy
     * @param reason who ended it, and why
     * @param age time since the request was written
     */
    public void copyConnectionEnded(String requestName, CopyName copy, ConnectionEnd reason, Duration age) {
        if (admit(reason == ConnectionEnd.CANCELLED ? Kind.ABANDONED : Kind.COPY_CONNECTION)) {
            Logger.info(
                    "decision=CopyConnectionEnded subject={} copy={} reason={} age_ms={}",
                    oneLine(requestName),
                    copy,
                    reason,
                    age.toMillis());
        }
    }

    private static Kind kind(Decision decision) {
        return switch (decision) {
            case Decision.Sent _ -> Kind.SENT;
            case Decision.Answered answered ->
                switch (answered.outcome()) {
                    case Outcome.Answered copy -> copy.content().status() < 500 ? Kind.ANSWERED : Kind.FAILED;
                    case Outcome.NotRun _ -> Kind.REFUSED;
                    case Outcome.Unknown _ -> Kind.FAILED;
                };
            case Decision.Retried _ -> Kind.RETRIED;
            case Decision.FailedAtCopy _ -> Kind.FAILED_AT_COPY;
            case Decision.SuspectHandled _ -> Kind.SUSPECT;
            case Decision.Abandoned _ -> Kind.ABANDONED;
            case Decision.CopyChanged changed
            when !changed.state().equals(Decision.CopyChanged.READY) -> Kind.COPY_LEAVES;
            case Decision.CopyCrashed _, Decision.SuspicionChanged _, Decision.SuspicionsForgotten _ -> Kind.CRASH;
            case Decision.OfBelief _ -> Kind.BELIEF;
        };
    }

    private boolean admit(Kind kind) {
        long now = System.nanoTime();
        if (now - secondNanos >= SECOND_NANOS) {
            secondNanos = now;
            tellOmitted();
            written.clear();
        }
        if (written.merge(kind, 1, Integer::sum) > kind.linesPerSecond) {
            omitted.merge(kind, 1, Integer::sum);
            return false;
        }
        return true;
    }

    private void tellOmitted() {
        if (!omitted.isEmpty()) {
            Logger.info("decision=Omitted subject=log lines={}", omitted);
            omitted.clear();
        }
    }

    /** Guards against forged entries: a name from outside could hold a line break and a whole false line. */
    private static String oneLine(String text) {
        boolean plain = text.chars().noneMatch(Character::isISOControl);
        return plain ? text : text.replaceAll("\\p{Cntrl}", " ");
    }
}
