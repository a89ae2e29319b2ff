package org.carawaysill.policy.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.request.CopyNotice;
import org.carawaysill.model.request.CopyNotice.Rate;
import org.carawaysill.model.request.NoticeCount;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * What the local copy's answers state about it, and what other nodes know of that until the first answer.
 *
 * <p>Invariants: only answers of the copy's present process count; a limit that can't be read changes nothing; a copy
 * that has said that it leaves does so until its process ends. Not thread safe: owned by the policy.
 */
final class CopyNotices {

    /** The source of what the copy's own answers state. */
    static final String COPY = "copy";

    private static final String NONE = "-";

    private Optional<CopyName> answering = Optional.empty();
    private OptionalDouble limit = OptionalDouble.empty();
    private OptionalDouble limitBefore = OptionalDouble.empty();
    private long limitSinceNanos;
    private long limitBeforeAgeNanos;
    private boolean leaving;
    private boolean unreadable;

    /** Takes in an answer's notice, and returns what it changes. */
    List<NoticeCount> received(long now, CopyName copy, CopyNotice notice) {
        boolean first = answering.filter(copy::equals).isEmpty();
        if (first) {
            answering = Optional.of(copy);
            leaving = false;
            unreadable = false;
        }
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
    Optional<NoticeCount> relayed(long now, OptionalDouble known) {
        boolean isNews = answering.isEmpty() && known.isPresent();
        boolean isLower = isNews && known.getAsDouble() < limit.orElse(Double.POSITIVE_INFINITY);
        return isLower ? changeLimit(now, known) : Optional.empty();
    }

    private Optional<NoticeCount> changeLimit(long now, OptionalDouble named) {
        if (named.equals(limit)) {
            return Optional.empty();
        }
        limitBefore = limit;
        limitBeforeAgeNanos = now - limitSinceNanos;
        limit = named;
        limitSinceNanos = now;
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
    }

    /** Returns the requests per second that the copy takes; empty if it names no limit. */
    OptionalDouble limit() {
        return limit;
    }

    /** Returns whether a copy has said that it leaves. */
    boolean isLeaving(CopyName copy) {
        return leaving && answering.filter(copy::equals).isPresent();
    }

    Decision.CopyNoticed describe(CopyName copy, NoticeCount change, String from, LoadReport load) {
        return new Decision.CopyNoticed(
                copy,
                change,
                from,
                describe(limit),
                describe(limitBefore),
                limitBeforeAgeNanos,
                load.inFlight(),
                load.queued());
    }

    private static String describe(OptionalDouble requestsPerSecond) {
        return requestsPerSecond.isPresent() ? Double.toString(requestsPerSecond.getAsDouble()) : NONE;
    }
}
