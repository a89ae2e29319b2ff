package org.carawaysill.policy.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * Controls admission to the local copy: requests run up to its concurrency limit, a few wait, and the rest are refused.
 *
 * <p>Every offered request gets one verdict: it starts or it is refused. A started request may be cancelled later. All
 * knowledge of the copy comes from this node's own observations; the copy's health and load endpoints are not queried.
 *
 * <p>Invariants: whenever a request starts, at most as many are in flight as the limit; the limit is between 1 and the
 * slots; when a request is refused for lack of room, no less important one keeps waiting ({@link #refusalOrderViolations()} counts
 * violations). Not thread safe: the policy's thread owns it.
 */
public final class CopyAdmission {

    private final AdmissionSettings settings;
    private final LearnedLimit limit = new LearnedLimit();
    private final CutSchedule cut = new CutSchedule();
    private final AdmissionQueue queue = new AdmissionQueue();
    private final RunningRequests running = new RunningRequests();
    private final HopTimes hopTimes = new HopTimes();
    private final ServiceRate serviceRate = new ServiceRate();
    private final PauseDetector pauses = new PauseDetector();
    private final RetryAdvice retryAdvice = new RetryAdvice();
    private int refusalOrderViolations;

    /**
     * Starts with an idle copy.
     *
     * @param settings the settings
     * @param slots how many requests the copy can run at a time, at least 1
     */
    public CopyAdmission(AdmissionSettings settings, int slots) {
        this.settings = settings;
        slots(slots);
    }

    /**
     * Decides about a new request.
     *
     * @param now nanoseconds on the monotonic clock, never earlier than the last
     * @param candidate the request
     * @return a verdict about it unless it waits, and about requests that are refused or cancelled in its favour
     * @throws IllegalArgumentException if a request of this attempt waits or runs
     */
    public List<Verdict> offer(long now, Candidate candidate) {
        if (queue.contains(candidate.attempt())
                || running.get(candidate.attempt()).isPresent()) {
            throw new IllegalArgumentException("attempt offered twice: " + candidate.attempt());
        }
        List<Verdict> verdicts = wakeUp(now);
        cut.arrived(candidate.priority().level());
        if (latestStart(now, candidate) <= now) {
            verdicts.add(refuse(now, candidate, RefusalReason.DEADLINE));
        } else if (running.size() < limit.limit()) {
            start(now, candidate, verdicts);
        } else if (candidate.priority().level() < cut.lowestWaiting()) {
            preemptOrRefuse(now, candidate, RefusalReason.OVERLOAD, verdicts);
        } else {
            enqueue(now, candidate, verdicts);
        }
        return verdicts;
    }

    /**
     * Records that a request ended at the copy.
     *
     * @param now nanoseconds on the monotonic clock, never earlier than the last
     * @param attempt the attempt; unknown ones are ignored
     * @param finish how it ended
     * @return verdicts about waiting requests
     */
    public List<Verdict> finished(long now, AttemptIdentifier attempt, Finish finish) {
        advance(now);
        running.remove(attempt).ifPresent(ended -> learn(now, ended, finish));
        return wakeUp(now);
    }

    /**
     * Records that a running request calls a deeper service: the time until {@link #deeperCallEnded} does not count as the
     * copy's own.
     *
     * @param now nanoseconds on the monotonic clock
     * @param attempt the running attempt; unknown ones are ignored
     */
    public void deeperCallStarted(long now, AttemptIdentifier attempt) {
        running.get(attempt).ifPresent(caller -> caller.deeperCallStarted(now));
    }

    /**
     * Records that a call begun with {@link #deeperCallStarted} ended.
     *
     * @param now nanoseconds on the monotonic clock
     * @param attempt the running attempt; unknown ones are ignored
     * @param answered whether the deeper service answered
     */
    public void deeperCallEnded(long now, AttemptIdentifier attempt, boolean answered) {
        running.get(attempt).ifPresent(caller -> caller.deeperCallEnded(now, answered));
    }

    /**
     * Removes a request whose caller has gone away; the caller of this method must cancel a running one at the copy.
     *
     * @param now nanoseconds on the monotonic clock, never earlier than the last
     * @param attempt the attempt; unknown ones are ignored
     * @return verdicts about waiting requests; none about the attempt itself
     */
    public List<Verdict> withdraw(long now, AttemptIdentifier attempt) {
        advance(now);
        queue.remove(attempt);
        running.remove(attempt)
                .ifPresent(ended ->
                        hopTimes.measuredAtLeast(now, ended.candidate().operation(), now - ended.startedNanos()));
        return wakeUp(now);
    }

    /**
     * Decides about waiting requests as time passes.
     *
     * @param now nanoseconds on the monotonic clock, never earlier than the last
     * @return verdicts about them
     */
    public List<Verdict> wakeUp(long now) {
        List<Verdict> verdicts = new ArrayList<>();
        advance(now);
        handleOverdue(now, verdicts);
        if (cut.due(now)) {
            updateCut(now, verdicts);
        }
        while (running.size() < limit.limit() && !queue.isEmpty()) {
            start(now, queue.removeMostImportant(cut.overloaded()), verdicts);
        }
        return verdicts;
    }

    /**
     * Returns when {@link #wakeUp} must be called if no other event comes before.
     *
     * @return a time on the monotonic clock in nanoseconds, {@link Long#MAX_VALUE} for never
     */
    public long nextWakeNanos() {
        return Math.min(cut.nextUpdateNanos(queue), queue.nextLatestStartNanos());
    }

    /**
     * Returns the current load.
     *
     * @return the load
     */
    public LoadReport load() {
        return new LoadReport(running.size(), limit.limit(), queue.size(), cut());
    }

    /**
     * Returns the lowest priority level that is admitted here.
     *
     * @return the level, 0 for all
     */
    public int cut() {
        return cut.level();
    }

    /**
     * Returns whether no request runs and none waits.
     *
     * @return whether the copy is idle
     */
    public boolean idle() {
        return running.isEmpty() && queue.isEmpty();
    }

    /**
     * Changes the number of slots, as published.
     *
     * @param published how many requests the copy can run at a time
     * @throws IllegalArgumentException if that is less than 1
     */
    public void slots(int published) {
        limit.slots(published);
    }

    /**
     * Returns how often a request was refused for lack of room while a less important one kept waiting.
     *
     * @return the number of violations since the start; any other value than 0 is a defect
     */
    public int refusalOrderViolations() {
        return refusalOrderViolations;
    }

    private void advance(long now) {
        double busyNanos = (double) pauses.elapsed(now) * running.size();
        serviceRate.busy(busyNanos);
        cut.busy(now, busyNanos);
    }

    private void learn(long now, RunningRequest ended, Finish finish) {
        if (finish == Finish.ANSWERED) {
            serviceRate.answered();
        }
        if (pauses.pausedSince(ended.startedNanos())) {
            return;
        }
        limit.ended(now, ended.sample(now, running.size() + 1, finish));
        if (finish == Finish.ANSWERED) {
            hopTimes.measured(now, ended.candidate().operation(), now - ended.startedNanos());
        } else {
            learnFromUnanswered(now, ended);
        }
    }

    private void learnFromUnanswered(long now, RunningRequest ended) {
        if (!pauses.pausedSince(ended.startedNanos())) {
            hopTimes.measuredAtLeast(now, ended.candidate().operation(), now - ended.startedNanos());
        }
    }

    private long latestStart(long now, Candidate candidate) {
        return candidate.deadlineNanos() - hopTimes.lowerNanos(now, candidate.operation());
    }

    private void enqueue(long now, Candidate candidate, List<Verdict> verdicts) {
        long slowNanos = mayCancelFor(candidate) ? hopTimes.upperNanos(now, candidate.operation()) : 0;
        queue.add(candidate, Math.min(candidate.deadlineNanos() - slowNanos, latestStart(now, candidate)));
        while (queue.size() > settings.queueCapacity(limit.limit())) {
            Candidate least = queue.removeLeastImportant(cut.overloaded());
            preemptOrRefuse(
                    now, least, least.equals(candidate) ? RefusalReason.QUEUE_FULL : RefusalReason.EVICTED, verdicts);
        }
    }

    private void handleOverdue(long now, List<Verdict> verdicts) {
        Optional<Candidate> overdue = queue.removeOverdue(now);
        while (overdue.isPresent()) {
            Candidate candidate = overdue.get();
            long latestStart = latestStart(now, candidate);
            if (latestStart <= now) {
                verdicts.add(refuse(now, candidate, RefusalReason.DEADLINE));
            } else if (!startByPreemption(now, candidate, verdicts)) {
                queue.add(candidate, latestStart);
            }
            overdue = queue.removeOverdue(now);
        }
    }

    private void updateCut(long now, List<Verdict> verdicts) {
        int allowed = limit.limit();
        cut.update(now, queue, settings.queueTarget(allowed), allowed, serviceRate.perSecond(allowed));
        while (queue.lowestLevel() < cut.lowestWaiting()) {
            preemptOrRefuse(now, queue.removeLeastImportant(cut.overloaded()), RefusalReason.OVERLOAD, verdicts);
        }
    }

    private void start(long now, Candidate candidate, List<Verdict> verdicts) {
        running.start(now, candidate);
        verdicts.add(new Verdict.Start(candidate.attempt()));
    }

    private void preemptOrRefuse(long now, Candidate candidate, RefusalReason reason, List<Verdict> verdicts) {
        if (!startByPreemption(now, candidate, verdicts)) {
            if (queue.lowestLevel() < candidate.priority().level()) {
                refusalOrderViolations++;
            }
            verdicts.add(refuse(now, candidate, reason));
        }
    }

    private boolean mayCancelFor(Candidate candidate) {
        return settings.cancelForCritical() && candidate.priority().importance() == Importance.CRITICAL;
    }

    private boolean startByPreemption(long now, Candidate candidate, List<Verdict> verdicts) {
        boolean allowed = mayCancelFor(candidate) && running.size() <= limit.limit();
        Optional<Candidate> cancelled = allowed ? running.removeCancellable() : Optional.empty();
        cancelled.ifPresent(victim -> {
            verdicts.add(new Verdict.CancelRunning(victim.attempt(), retryAfter(now, victim)));
            start(now, candidate, verdicts);
        });
        return cancelled.isPresent();
    }

    private Verdict refuse(long now, Candidate candidate, RefusalReason reason) {
        return new Verdict.Refuse(candidate.attempt(), reason, retryAfter(now, candidate));
    }

    private Duration retryAfter(long now, Candidate candidate) {
        double answersPerSecond = serviceRate.perSecond(limit.limit());
        return retryAdvice.refuse(
                now, queue.size(), answersPerSecond, candidate.attempt().low());
    }
}
