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
 * What the local copy's answers state about it.
 *
 * <p>Invariants: only answers of the copy's present process count; a limit that can't be read changes nothing. Not
 * thread safe: owned by the policy.
 */
final class CopyNotices {

    private static final String NONE = "-";

    private Optional<CopyName> source = Optional.empty();
    private OptionalDouble limit = OptionalDouble.empty();
    private OptionalDouble limitBefore = OptionalDouble.empty();
    private long limitSinceNanos;
    private long limitBeforeAgeNanos;
    private boolean leaving;
    private boolean unreadable;

    /** Takes in an answer's notice, and returns what it changes. */
    List<NoticeCount> received(long now, CopyName copy, CopyNotice notice) {
        if (source.filter(copy::equals).isEmpty()) {
            reset(now);
            source = Optional.of(copy);
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
        source = Optional.empty();
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

    Decision.CopyNoticed describe(NoticeCount change, LoadReport load) {
        return new Decision.CopyNoticed(
                source.orElseThrow(),
                change,
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
