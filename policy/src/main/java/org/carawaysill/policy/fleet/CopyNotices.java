package org.carawaysill.policy.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.CopyNotice;
import org.carawaysill.model.request.CopyNotice.Rate;
import org.carawaysill.model.request.NoticeCount;
import org.carawaysill.policy.fleet.copy.CopyGate;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * What the local copy's answers state about it, and what other nodes know of that until the first answer. Sets the
 * limit at the gate, and logs and counts each change.
 *
 * <p>Invariants: only answers of the copy's present process count; a limit that can't be read changes nothing; a copy
 * that has said that it leaves does so until its process ends. Not thread safe: owned by the policy.
 */
final class CopyNotices {

    /** The source of what the copy's own answers state. */
    private static final String COPY = "copy";

    private static final String NONE = "-";

    private final Effects effects;
    private final CopyGate gate;
    private Optional<CopyName> answering = Optional.empty();
    private OptionalDouble limit = OptionalDouble.empty();
    private OptionalDouble limitBefore = OptionalDouble.empty();
    private long limitSinceNanos;
    private long limitBeforeAgeNanos;
    private boolean leaving;
    private boolean unreadable;

    CopyNotices(Effects effects, CopyGate gate) {
        this.effects = effects;
        this.gate = gate;
    }

    /** Takes in an answer's notice; returns whether it changes anything for the requests that wait. */
    boolean received(long now, CopyName copy, CopyNotice notice) {
        gate.heard();
        if (answering.filter(copy::equals).isEmpty()) {
            answering = Optional.of(copy);
            leaving = false;
            unreadable = false;
        }
        List<NoticeCount> changes = changes(now, notice);
        changes.forEach(change -> report(now, copy, change, COPY));
        return !changes.isEmpty();
    }

    private List<NoticeCount> changes(long now, CopyNotice notice) {
        List<NoticeCount> changes = new ArrayList<>();
        if (notice.leaving() && !leaving) {
            leaving = true;
            changes.add(NoticeCount.LEAVING);
        }
        switch (notice.rate()) {
            case Rate.Unlimited _ -> {
                unreadable = false;
                changeLimit(now, OptionalDouble.empty()).ifPresent(changes::add);
            }
            case Rate.Limited(double requestsPerSecond) -> {
                unreadable = false;
                changeLimit(now, OptionalDouble.of(requestsPerSecond)).ifPresent(changes::add);
            }
            case Rate.Unreadable _ -> {
                if (!unreadable) {
                    unreadable = true;
                    changes.add(NoticeCount.LIMIT_UNREADABLE);
                }
            }
        }
        return changes;
    }

    /**
     * Takes in the limit that another node knows, unless the copy has answered this process. Guards against a restarted
     * node that sends its copy everything until the first answer. Of several limits the lowest counts.
     */
    void relayed(long now, NodeName from, CopyRequest request) {
        OptionalDouble known = request.knownLimit();
        boolean isNews = answering.isEmpty() && known.isPresent();
        if (isNews && known.getAsDouble() < limit.orElse(Double.POSITIVE_INFINITY)) {
            changeLimit(now, known).ifPresent(change -> report(now, request.copy(), change, from.value()));
        }
    }

    private Optional<NoticeCount> changeLimit(long now, OptionalDouble named) {
        if (named.equals(limit)) {
            return Optional.empty();
        }
        limitBefore = limit;
        limitBeforeAgeNanos = now - limitSinceNanos;
        limit = named;
        limitSinceNanos = now;
        applyLimit(now);
        if (named.isEmpty()) {
            return Optional.of(NoticeCount.LIMIT_ENDED);
        }
        return Optional.of(limitBefore.isEmpty() ? NoticeCount.LIMIT_NAMED : NoticeCount.LIMIT_CHANGED);
    }

    /** Forgets all statements: another process of the copy knows nothing of them. */
    void reset(long now) {
        answering = Optional.empty();
        limit = OptionalDouble.empty();
        limitBefore = OptionalDouble.empty();
        limitSinceNanos = now;
        limitBeforeAgeNanos = 0;
        leaving = false;
        unreadable = false;
        applyLimit(now);
    }

    private void applyLimit(long now) {
        gate.limitRate(now, limit);
        effects.add(new FleetEffect.ShowRateLimit(limit.orElse(Double.POSITIVE_INFINITY)));
    }

    /** Returns whether a copy has said that it leaves. */
    boolean isLeaving(CopyName copy) {
        return leaving && answering.filter(copy::equals).isPresent();
    }

    private void report(long now, CopyName copy, NoticeCount change, String from) {
        LoadReport load = gate.load(now);
        effects.count(change);
        effects.log(new Decision.CopyNoticed(
                copy,
                change,
                from,
                describe(limit),
                describe(limitBefore),
                limitBeforeAgeNanos,
                load.inFlight(),
                load.queued()));
    }

    private static String describe(OptionalDouble requestsPerSecond) {
        return requestsPerSecond.isPresent() ? Double.toString(requestsPerSecond.getAsDouble()) : NONE;
    }
}
