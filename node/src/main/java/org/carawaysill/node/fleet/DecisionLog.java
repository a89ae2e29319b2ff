package org.carawaysill.node.fleet;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.node.observation.BadRequest;
import org.carawaysill.node.observation.ConnectionEnd;
import org.carawaysill.node.observation.CopyCheck;
import org.carawaysill.policy.fleet.Decision;
import org.carawaysill.policy.fleet.FleetEffect;
import org.tinylog.Logger;

/**
 * Writes one log line per decision: its kind, its subject, the inputs and the outcome.
 *
 * <p>Invariants: writes at most the configured number of lines of each kind per second and reports how many lines it
 * omitted; an entry is always a single line, whatever its values contain. The logging library writes on its own thread,
 * so that callers don't wait for the console. Not thread safe: confined to the event loop.
 */
public final class DecisionLog implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "decisions";

    private static final long SECOND_NANOS = 1_000_000_000L;

    /** Longer than the fields of any decision, and than the name of a call eleven levels deep. */
    private static final int MAXIMUM_TEXT = 1024;

    private final Map<Kind, Integer> written = new EnumMap<>(Kind.class);
    private final Map<Kind, Integer> omitted = new EnumMap<>(Kind.class);
    private long secondNanos = System.nanoTime();

    /** The kind of a line, with its limit in lines per second. Lines that explain failures have the highest limits. */
    private enum Kind {
        /** An attempt was sent. */
        SENT(1),
        /** A copy answered. */
        ANSWERED(1),
        /** No copy ran the request, because the service is overloaded. */
        REFUSED(5),
        /** The request failed for another reason. */
        FAILED(10),
        /** Another attempt follows. */
        RETRIED(5),
        /** The connection to the other node ended before the answer, or a wait for the next one ended. */
        LINK_WAIT(10),
        /** The request failed at the local copy or before it reached it. */
        FAILED_AT_COPY(5),
        /** The connection to the local copy ended before the request was answered. */
        COPY_CONNECTION(20),
        /** It was checked whether the local copy has ended, after a request lost its connection to it. */
        COPY_CHECK(5),
        /** The request was held, redirected or refused because copies crashed while running it. */
        SUSPECT(10),
        /** The client closed the connection before the answer. */
        ABANDONED(3),
        /** The request was malformed. */
        BAD_REQUEST(5),
        /**
         * A copy is leaving or gone. Has its own limit, because a node that has just started writes a line for each
         * copy, which must not crowd this one out.
         */
        COPY_LEAVES(60),
        /** The local copy crashed, or the suspicion of a request that crashed copies changed. */
        CRASH(60),
        /** The state that the node knows of a copy, peer, route or other part of the fleet changed. */
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
     * Writes a decision, unless the limit of its kind is reached for this second.
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
     * Writes that a request was rejected before it was passed to the policy.
     *
     * @param requestName the client's name for the request, empty if it was not read
     * @param kind what is wrong with the request
     */
    public void badRequest(String requestName, BadRequest kind) {
        if (admit(Kind.BAD_REQUEST)) {
            Logger.info(
                    "decision=BadRequest subject={} reason={} status={}", oneLine(requestName), kind, kind.status());
        }
    }

    /**
     * Writes that a connection to the local copy ended while a request was in flight on it.
     *
     * @param request the request
     * @param reason which side ended the connection, and why
     * @param answerBytes how many bytes the copy had sent in reply
     * @param age time since the request was written
     * @param rested how long the connection had rested before the request, empty if it carried no request before
     */
    public void copyConnectionEnded(
            FleetEffect.SendToCopy request,
            ConnectionEnd reason,
            long answerBytes,
            Duration age,
            Optional<Duration> rested) {
        if (admit(reason == ConnectionEnd.CANCELLED ? Kind.ABANDONED : Kind.COPY_CONNECTION)) {
            Logger.info(
                    "decision=CopyConnectionEnded subject={} copy={} reason={} bytes={} age_ms={} rested_ms={}",
                    oneLine(request.requestName()),
                    request.copy(),
                    reason,
                    answerBytes,
                    age.toMillis(),
                    rested.map(Duration::toMillis).map(String::valueOf).orElse("new"));
        }
    }

    /**
     * Writes what a check found of the local copy after a request lost its connection to it.
     *
     * @param check the inputs and the result
     */
    public void copyChecked(CopyCheck check) {
        if (admit(Kind.COPY_CHECK)) {
            Logger.info(
                    "decision=CopyChecked subject={} probe={} probes={} open_before={} open_after={} crashed={} lost={}"
                            + " kept={}",
                    check.copy(),
                    check.probe(),
                    check.probes(),
                    check.openBefore(),
                    check.openAfter(),
                    check.crashed(),
                    check.lost(),
                    check.kept());
        }
    }

    /**
     * Writes that answers of the local copy have a header field that the node passes on without reading it.
     *
     * @param field the name of the field
     */
    public void fieldUnread(String field) {
        if (admit(Kind.BELIEF)) {
            Logger.info("decision=FieldUnread subject=copy field={}", oneLine(field));
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
            case Decision.LinkWait _ -> Kind.LINK_WAIT;
            case Decision.FailedAtCopy _, Decision.PlaceEnded _ -> Kind.FAILED_AT_COPY;
            case Decision.SuspectHandled _ -> Kind.SUSPECT;
            case Decision.Abandoned _ -> Kind.ABANDONED;
            case Decision.CopyChanged changed
            when !changed.state().equals(Decision.CopyChanged.READY) -> Kind.COPY_LEAVES;
            case Decision.LocalCopyChanged _ -> Kind.COPY_LEAVES;
            case Decision.CopyCrashed _, Decision.SuspicionChanged _, Decision.SuspicionsForgotten _ -> Kind.CRASH;
            case Decision.OfState _ -> Kind.BELIEF;
        };
    }

    private boolean admit(Kind kind) {
        long now = System.nanoTime();
        if (now - secondNanos >= SECOND_NANOS) {
            secondNanos = now;
            logOmitted();
            written.clear();
        }
        if (written.merge(kind, 1, Integer::sum) > kind.linesPerSecond) {
            omitted.merge(kind, 1, Integer::sum);
            return false;
        }
        return true;
    }

    private void logOmitted() {
        if (!omitted.isEmpty()) {
            Logger.info("decision=Omitted subject=log lines={}", omitted);
            omitted.clear();
        }
    }

    /**
     * Replaces control characters, which prevents log injection: a name from a client could contain a line break and a
     * forged line. Bounds the length: a client's name for a request may be as long as a head.
     */
    private static String oneLine(String whole) {
        String text = whole.length() > MAXIMUM_TEXT ? whole.substring(0, MAXIMUM_TEXT) + "..." : whole;
        boolean plain = text.chars().noneMatch(Character::isISOControl);
        return plain ? text : text.replaceAll("\\p{Cntrl}", " ");
    }
}
