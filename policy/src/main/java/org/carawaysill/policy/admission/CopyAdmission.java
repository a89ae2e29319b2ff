package org.carawaysill.policy.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * Guards the local copy: at most as many requests run as its limit allows, a few wait by importance, the rest is refused.
 *
 * <p>Invariants: in flight is at most the limit whenever a request starts; the limit is between 1 and the slots; a
 * request is refused for room only while no less important one waits ({@link #breaches()} counts exceptions). Not
 * thread safe: the policy's thread owns it.
 */
public final class CopyAdmission {

    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private static final Comparator<Candidate> MOST_IMPORTANT_FIRST = Comparator.comparing(
                    Candidate::priority, Comparator.reverseOrder())
            .thenComparing(Candidate::depth, Comparator.reverseOrder())
            .thenComparing(Candidate::deadlineNanos)
            .thenComparing(candidate -> candidate.attempt().high())
            .thenComparing(candidate -> candidate.attempt().low());

    private final AdmissionSettings settings;
    private final TreeSet<Candidate> queue = new TreeSet<>(MOST_IMPORTANT_FIRST);
    private final Map<AttemptIdentifier, Candidate> queued = new HashMap<>();
    private final Map<AttemptIdentifier, Candidate> running = new HashMap<>();
    private int slots;
    private int breaches;

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
     * @param now nanoseconds on the monotonic clock
     * @param candidate the request
     * @return a verdict about it unless it waits, and about requests that give way to it
     */
    public List<Verdict> offer(long now, Candidate candidate) {
        List<Verdict> verdicts = wakeUp(now);
        queue.add(candidate);
        queued.put(candidate.attempt(), candidate);
        startWhatFits(verdicts);
        while (queue.size() > queueCapacity()) {
            Candidate least = queue.last();
            remove(least);
            boolean newcomer = least.equals(candidate);
            verdicts.add(refuse(least, newcomer ? RefusalReason.QUEUE_FULL : RefusalReason.EVICTED));
        }
        return verdicts;
    }

    /**
     * Takes note that a request ended at the copy.
     *
     * @param now nanoseconds on the monotonic clock
     * @param attempt the attempt; unknown ones are ignored
     * @param finish how it ended
     * @return verdicts about waiting requests
     */
    public List<Verdict> finished(long now, AttemptIdentifier attempt, Finish finish) {
        running.remove(attempt);
        return wakeUp(now);
    }

    /**
     * Forgets a request whose caller went away; a running one must be cancelled at the copy by whoever calls this.
     *
     * @param now nanoseconds on the monotonic clock
     * @param attempt the attempt; unknown ones are ignored
     * @return verdicts about waiting requests; none about the attempt itself
     */
    public List<Verdict> withdraw(long now, AttemptIdentifier attempt) {
        Candidate waiting = queued.get(attempt);
        if (waiting != null) {
            remove(waiting);
        }
        running.remove(attempt);
        return wakeUp(now);
    }

    /**
     * Decides about waiting requests as time passes.
     *
     * @param now nanoseconds on the monotonic clock
     * @return verdicts about them
     */
    public List<Verdict> wakeUp(long now) {
        List<Verdict> verdicts = new ArrayList<>();
        for (Candidate candidate : List.copyOf(queue)) {
            if (candidate.deadlineNanos() <= now) {
                remove(candidate);
                verdicts.add(refuse(candidate, RefusalReason.DEADLINE));
            }
        }
        startWhatFits(verdicts);
        return verdicts;
    }

    /**
     * Tells when {@link #wakeUp} must be called if nothing happens before.
     *
     * @return a time on the monotonic clock in nanoseconds, {@link Long#MAX_VALUE} for never
     */
    public long nextWakeNanos() {
        return queue.stream().mapToLong(Candidate::deadlineNanos).min().orElse(Long.MAX_VALUE);
    }

    /**
     * Tells the present load.
     *
     * @return the load
     */
    public LoadReport load() {
        return new LoadReport(running.size(), limit(), queue.size(), cut());
    }

    /**
     * Tells the lowest priority level that has a chance here.
     *
     * @return the level, 0 for all
     */
    public int cut() {
        return queue.size() < queueCapacity() ? 0 : queue.last().priority().level();
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
        slots = published;
    }

    /**
     * Counts the times that a request was refused for room while a less important one waited.
     *
     * @return the number of breaches since the start, 0 if all is well
     */
    public int breaches() {
        return breaches;
    }

    private int limit() {
        return slots;
    }

    private int queueCapacity() {
        return (int) Math.ceil(slots * settings.queuePerSlot());
    }

    private void startWhatFits(List<Verdict> verdicts) {
        while (running.size() < limit() && !queue.isEmpty()) {
            Candidate first = queue.first();
            remove(first);
            running.put(first.attempt(), first);
            verdicts.add(new Verdict.Start(first.attempt()));
        }
    }

    private void remove(Candidate candidate) {
        queue.remove(candidate);
        queued.remove(candidate.attempt());
    }

    private Verdict refuse(Candidate candidate, RefusalReason reason) {
        boolean forRoom = reason != RefusalReason.DEADLINE;
        if (forRoom && !queue.isEmpty() && queue.last().priority().compareTo(candidate.priority()) < 0) {
            breaches++;
        }
        return new Verdict.Refuse(candidate.attempt(), reason, RETRY_AFTER);
    }
}
