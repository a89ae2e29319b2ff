package org.carawaysill.policy.fleet;

import java.util.List;
import java.util.Optional;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.request.LeavingSign;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.copy.CopyGate;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.time.Moment;
import org.carawaysill.policy.time.Nanos;

/**
 * What is published and stated about the local copy: its process, and whether it takes new requests.
 *
 * <p>Invariant: a copy whose entry is gone takes none until it is published again, even while the platform is away. Not
 * thread safe: owned by the policy.
 */
final class LocalCopy {

    private static final long NOT_GONE = Long.MAX_VALUE;

    private final Effects effects;
    private final CrashSuspects suspects;
    private final CopyGate gate;
    private final CopyNotices notices;
    private Optional<CopyRecord> record = Optional.empty();
    private Optional<LeavingSign> notedSign = Optional.empty();
    private long goneNanos = NOT_GONE;
    private boolean unpublished;

    LocalCopy(Effects effects, CrashSuspects suspects, CopyGate gate, CopyNotices notices) {
        this.effects = effects;
        this.suspects = suspects;
        this.gate = gate;
        this.notices = notices;
    }

    /** Returns whether a record shows that the copy's process has restarted. */
    boolean hasRestarted(CopyRecord newer) {
        return record.isPresent() && !record.get().isSameStart(newer);
    }

    /** Takes in the published copy, whose entry may be missing since the last read. */
    void published(Copy copy) {
        record = Optional.of(copy.record());
        goneNanos = copy.goneNanos();
        unpublished = false;
    }

    /**
     * Notes that the copy is no longer published; it may have left without notice.
     *
     * @param removed whether its entry is gone, so that it is not only the configuration that doesn't name its service
     */
    void unpublished(long now, boolean removed) {
        unpublished = true;
        goneNanos = removed ? Math.min(goneNanos, now) : NOT_GONE;
    }

    /** Returns the copy that was last published. */
    Optional<CopyName> name() {
        return record.map(CopyRecord::copy);
    }

    /** Returns whether a copy may be the present one. */
    boolean mayBe(CopyName copy) {
        return record.isEmpty() || record.get().copy().equals(copy);
    }

    /** Returns whether a copy takes new requests. Each request asks before it waits, and again before it starts. */
    boolean takes(long now, CopyName copy) {
        return leavingSign(now, copy).isEmpty();
    }

    private Optional<LeavingSign> leavingSign(long now, CopyName copy) {
        if (record.filter(CopyRecord::draining).isPresent()) {
            return Optional.of(LeavingSign.DRAINING);
        }
        if (notices.isLeaving(copy)) {
            return Optional.of(LeavingSign.STATED);
        }
        return now >= goneNanos && mayBe(copy) ? Optional.of(LeavingSign.REMOVED) : Optional.empty();
    }

    /** Notes whether the copy leaves now; logs it and returns true if that has changed. */
    boolean noteLeaving(long now) {
        Optional<LeavingSign> sign = name().flatMap(copy -> leavingSign(now, copy));
        if (sign.equals(notedSign)) {
            return false;
        }
        notedSign = sign;
        LoadReport load = gate.load(now);
        sign.ifPresent(effects::count);
        effects.log(new Decision.LocalCopyChanged(name().orElseThrow(), sign, load.queued(), load.inFlight()));
        return true;
    }

    /** Returns when the copy begins to leave by the passing of time alone, because its entry is missing. */
    long nextGoneNanos() {
        return notedSign.isPresent() ? NOT_GONE : goneNanos;
    }

    /** Reports the end of the published copy's process as a crash, unless that end was expected. */
    List<CrashSuspects.LostRun> reportLost(long now, List<LocalRun> runs) {
        if (record.isEmpty() || !takes(now, record.get().copy()) || unpublished || runs.isEmpty()) {
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
