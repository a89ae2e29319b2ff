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
 * Guards the local copy: at most as many requests run as its limit allows, a few wait by importance, the rest is refused.
 *
 * <p>Every request offered gets one verdict: it starts or it is refused. One that started may be cancelled later. The
 * limit, the time per request and the rate of answers are what this node has seen itself; the copy's own health and load
 * pages are not asked.
 *
 * <p>Invariants: in flight is at most the limit whenever a request starts; the limit is between 1 and the slots; when a
 * request is refused for room, no less important one is kept waiting ({@link #breaches()} counts exceptions). Not thread
 * safe: the policy's thread owns it.
 */
public final class CopyAdmission {

    private static final long CUT_PERIOD_NANOS = 50_000_000L;

    private final AdmissionSettings settings;
    private final ConcurrencyLimit limit;
    private final AdmissionCut cut;
    private final AdmissionQueue queue = new AdmissionQueue();
    private final RunningRequests running = new RunningRequests();
    private final HopTimes hopTimes = new HopTimes();
    private final ServiceRate serviceRate = new ServiceRate();
    private final RetryAdvice retryAdvice = new RetryAdvice();
    private boolean begun;
    private long lastNanos;
    private long lastCutNanos;
    private double busyNanos;
    private int breaches;

    /**
     * Starts with an idle copy.
     *
     * @param settings the settings
     * @param slots how many requests the copy can run at a time, at least 1
     */
    public CopyAdmission(AdmissionSettings settings, int slots) {
        this(settings, slots, new Parts(new LearnedLimit(), new ForecastCut()));
    }

    CopyAdmission(int slots, Parts parts) {
        this(AdmissionSettings.DEFAULTS, slots, parts);
    }

    private CopyAdmission(AdmissionSettings settings, int slots, Parts parts) {
        this.settings = settings;
        this.limit = parts.limit();
        this.cut = parts.cut();
        slots(slots);
    }

    /**
     * What comparisons in tests put other ways in the place of.
     *
     * @param limit decides how many run
     * @param cut decides which levels have a chance
     */
    record Parts(ConcurrencyLimit limit, AdmissionCut cut) {}

    /**
     * Decides about a new request.
     *
     * @param now nanoseconds on the monotonic clock, never earlier than the last
     * @param candidate the request
     * @return a verdict about it unless it waits, and about requests that give way to it
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
            giveUp(now, candidate, RefusalReason.OVERLOAD, verdicts);
        } else {
            enqueue(now, candidate, verdicts);
        }
        return verdicts;
    }

    /**
     * Takes note that a request ended at the copy.
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
     * Takes note that a running request calls a deeper service: the time until {@link #answeredBelow} is not the copy's.
     *
     * @param now nanoseconds on the monotonic clock
     * @param attempt the running attempt; unknown ones are ignored
     */
    public void calledBelow(long now, AttemptIdentifier attempt) {
        running.get(attempt).ifPresent(caller -> caller.calledBelow(now));
    }

    /**
     * Takes note that a call begun with {@link #calledBelow} ended.
     *
     * @param now nanoseconds on the monotonic clock
     * @param attempt the running attempt; unknown ones are ignored
     * @param answered whether the deeper service answered
     */
    public void answeredBelow(long now, AttemptIdentifier attempt, boolean answered) {
        running.get(attempt).ifPresent(caller -> caller.answeredBelow(now, answered));
    }

    /**
     * Forgets a request whose caller went away; a running one must be cancelled at the copy by whoever calls this.
     *
     * @param now nanoseconds on the monotonic clock, never earlier than the last
     * @param attempt the attempt; unknown ones are ignored
     * @return verdicts about waiting requests; none about the attempt itself
     */
    public List<Verdict> withdraw(long now, AttemptIdentifier attempt) {
        advance(now);
        queue.remove(attempt);
        running.remove(attempt)
                .ifPresent(
                        ended -> hopTimes.tookLonger(now, ended.candidate().operation(), now - ended.startedNanos()));
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
        giveUpOverdue(now, verdicts);
        if (now - lastCutNanos >= CUT_PERIOD_NANOS) {
            updateCut(now, verdicts);
        }
        while (running.size() < limit.limit() && !queue.isEmpty()) {
            start(now, queue.removeMostImportant(overloaded()), verdicts);
        }
        return verdicts;
    }

    /**
     * Tells when {@link #wakeUp} must be called if nothing happens before.
     *
     * @return a time on the monotonic clock in nanoseconds, {@link Long#MAX_VALUE} for never
     */
    public long nextWakeNanos() {
        boolean cutMoves = overloaded() || !queue.isEmpty();
        long nextCutNanos = cutMoves ? lastCutNanos + CUT_PERIOD_NANOS : Long.MAX_VALUE;
        return Math.min(nextCutNanos, queue.nextLatestStartNanos());
    }

    /**
     * Tells the present load.
     *
     * @return the load
     */
    public LoadReport load() {
        return new LoadReport(running.size(), limit.limit(), queue.size(), cut());
    }

    /**
     * Tells the lowest priority level that has a chance here.
     *
     * @return the level, 0 for all
     */
    public int cut() {
        return cut.level();
    }

    /**
     * Tells whether nothing runs and nothing waits.
     *
     * @return whether the copy is idle
     */
    public boolean idle() {
        return running.isEmpty() && queue.isEmpty();
    }

    /**
     * Changes the number of slots, as published.
     *
     * @param published how many requests the copy can run at a time, at least 1
     */
    public void slots(int published) {
        if (published < 1) {
            throw new IllegalArgumentException("a copy has at least one slot");
        }
        limit.slots(published);
    }

    /**
     * Counts the times that a request was refused for room while a less important one was kept waiting.
     *
     * @return the number of breaches since the start, 0 if all is well
     */
    public int breaches() {
        return breaches;
    }

    private void advance(long now) {
        if (!begun) {
            begun = true;
            lastNanos = now;
            lastCutNanos = now;
        }
        double busy = (double) (now - lastNanos) * running.size();
        busyNanos += busy;
        serviceRate.busy(busy);
        lastNanos = now;
    }

    private void learn(long now, RunningRequest ended, Finish finish) {
        long heldNanos = now - ended.startedNanos();
        String operation = ended.candidate().operation();
        limit.ended(now, ended.sample(now, running.size() + 1, finish));
        if (finish == Finish.ANSWERED) {
            serviceRate.answered();
            hopTimes.measured(now, operation, heldNanos);
        } else {
            hopTimes.tookLonger(now, operation, heldNanos);
        }
    }

    private boolean overloaded() {
        return cut.level() > 0;
    }

    private long latestStart(long now, Candidate candidate) {
        return candidate.deadlineNanos() - hopTimes.quickNanos(now, candidate.operation());
    }

    private void enqueue(long now, Candidate candidate, List<Verdict> verdicts) {
        long slowNanos = mayCancelFor(candidate) ? hopTimes.slowNanos(now, candidate.operation()) : 0;
        queue.add(candidate, Math.min(candidate.deadlineNanos() - slowNanos, latestStart(now, candidate)));
        while (queue.size() > settings.queueCapacity(limit.limit())) {
            Candidate least = queue.removeLeastImportant(overloaded());
            boolean newcomer = least.equals(candidate);
            giveUp(now, least, newcomer ? RefusalReason.QUEUE_FULL : RefusalReason.EVICTED, verdicts);
        }
    }

    private void giveUpOverdue(long now, List<Verdict> verdicts) {
        Optional<Candidate> overdue = queue.removeOverdue(now);
        while (overdue.isPresent()) {
            Candidate candidate = overdue.get();
            long latestStart = latestStart(now, candidate);
            if (latestStart <= now) {
                verdicts.add(refuse(now, candidate, RefusalReason.DEADLINE));
            } else if (!startInsteadOfAnother(now, candidate, verdicts)) {
                queue.add(candidate, latestStart);
            }
            overdue = queue.removeOverdue(now);
        }
    }

    private void updateCut(long now, List<Verdict> verdicts) {
        int allowed = limit.limit();
        long elapsed = now - lastCutNanos;
        double idleShare = Math.clamp(1 - busyNanos / ((double) elapsed * allowed), 0, 1);
        double target = settings.queueTarget(allowed);
        cut.update(elapsed, new AdmissionCut.Pressure(queue, serviceRate.perSecond(allowed), target, idleShare));
        lastCutNanos = now;
        busyNanos = 0;
        while (queue.lowestLevel() < cut.lowestWaiting()) {
            giveUp(now, queue.removeLeastImportant(overloaded()), RefusalReason.OVERLOAD, verdicts);
        }
    }

    private void start(long now, Candidate candidate, List<Verdict> verdicts) {
        running.start(now, candidate);
        verdicts.add(new Verdict.Start(candidate.attempt()));
    }

    private void giveUp(long now, Candidate candidate, RefusalReason reason, List<Verdict> verdicts) {
        if (!startInsteadOfAnother(now, candidate, verdicts)) {
            if (queue.lowestLevel() < candidate.priority().level()) {
                breaches++;
            }
            verdicts.add(refuse(now, candidate, reason));
        }
    }

    private boolean mayCancelFor(Candidate candidate) {
        return settings.cancelForCritical() && candidate.priority().importance() == Importance.CRITICAL;
    }

    private boolean startInsteadOfAnother(long now, Candidate candidate, List<Verdict> verdicts) {
        if (!mayCancelFor(candidate) || running.size() > limit.limit()) {
            return false;
        }
        Optional<Candidate> cancelled = running.removeCancellable();
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
