package org.carawaysill.policy.fleet;

import java.util.List;
import java.util.Optional;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.time.Moment;
import org.carawaysill.policy.time.Nanos;

/**
 * What is published and stated about the local copy: its process, and whether it leaves.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class LocalCopy {

    private final CrashSuspects suspects;
    private final CopyNotices notices;
    private Optional<CopyRecord> record = Optional.empty();
    private boolean unpublished;

    LocalCopy(CrashSuspects suspects, CopyNotices notices) {
        this.suspects = suspects;
        this.notices = notices;
    }

    /** Returns whether a record shows that the copy's process has restarted. */
    boolean hasRestarted(CopyRecord newer) {
        return record.isPresent() && !record.get().isSameStart(newer);
    }

    void published(CopyRecord newer) {
        record = Optional.of(newer);
        unpublished = false;
    }

    /** Notes that the copy is no longer published; it may have left without notice. */
    void unpublished() {
        unpublished = true;
    }

    /** Returns whether a copy may be the present one. */
    boolean mayBe(CopyName copy) {
        return record.isEmpty() || record.get().copy().equals(copy);
    }

    boolean isLeaving(CopyName copy) {
        return record.filter(CopyRecord::draining).isPresent() || notices.isLeaving(copy);
    }

    /** Reports the end of the published copy's process as a crash, unless that end was expected. */
    List<CrashSuspects.LostRun> reportLost(long now, List<LocalRun> runs) {
        if (record.isEmpty() || isLeaving(record.get().copy()) || unpublished || runs.isEmpty()) {
            return runs.stream()
                    .map(run -> new CrashSuspects.LostRun(run, UnknownReason.COPY_LOST))
                    .toList();
        }
        return suspects.crashed(now, record.get(), runs);
    }

    /** Returns whether a request was sent to an earlier process than that of a record. */
    static boolean isFromEarlierProcess(Moment moment, LocalRun run, CopyRecord record) {
        long startedMillis = moment.epochMillis() - Nanos.toMillis(moment.nanos() - run.startedNanos());
        return run.isSentToCopy() && startedMillis < record.startedAtMillis();
    }
}
