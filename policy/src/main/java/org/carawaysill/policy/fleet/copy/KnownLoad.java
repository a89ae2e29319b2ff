package org.carawaysill.policy.fleet.copy;

import java.util.OptionalDouble;
import org.carawaysill.policy.message.PeerMessage.CopyPace;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * The requests at a copy: those of its latest load, and those of this node.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class KnownLoad {

    /** Avoids a division by a limit of 0 requests per second. */
    private static final double LEAST_LIMIT = 0.01;

    private int outstanding;
    private int othersLoad;
    private int sentSinceLoad;
    private LoadReport latest;
    private OptionalDouble limitPerSecond = OptionalDouble.empty();

    KnownLoad(int slots) {
        latest = new LoadReport(0, slots, 0, 0);
    }

    void sent() {
        outstanding++;
        sentSinceLoad++;
    }

    void ended() {
        outstanding--;
    }

    void update(LoadReport newest) {
        othersLoad = Math.max(0, newest.inFlight() + newest.queued() - outstanding);
        sentSinceLoad = 0;
        latest = newest;
        if (newest.pace().isPresent() || !newest.unheard()) {
            limitPerSecond =
                    newest.pace().stream().mapToDouble(CopyPace::limitPerSecond).findFirst();
        }
    }

    LoadReport latest() {
        return latest;
    }

    OptionalDouble limitPerSecond() {
        return limitPerSecond;
    }

    /** Returns the requests there with one more, divided by the limit, or by that of requests per second if it is more. */
    double withOneMore() {
        double slotLoad = (othersLoad + outstanding + 1) / (double) Math.max(1, latest.limit());
        return Math.max(slotLoad, paceLoad());
    }

    double requests() {
        return (double) othersLoad + outstanding;
    }

    /** Returns which part of the copy's own limit of requests per second is asked for; 0 if it names none. */
    double paceLoad() {
        if (latest.pace().isEmpty()) {
            return 0;
        }
        CopyPace pace = latest.pace().get();
        return (pace.askedPerSecond() + sentSinceLoad) / Math.max(LEAST_LIMIT, pace.limitPerSecond());
    }
}
