package org.carawaysill.policy.fleet.copy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.carawaysill.model.request.Fingerprint;

/**
 * Queues requests that are suspected to crash copies in front of the copy beside this node, the only one where they may
 * run.
 *
 * <p>They are started in small groups, at best one by one: if the copy crashes, a request that ran alone is known to be
 * the cause, and if it answers, that request is cleared. If all ran at once, the next crash would not show which one
 * caused it. Invariants: no two requests with one fingerprint run at the same time; a request that must run alone runs
 * beside no other suspect; none is started before the crashes of copies that may end together have been observed. Not
 * thread safe: owned by the policy.
 */
final class SuspectQueue {

    /**
     * The number of groups in which the waiting requests are started, one group after another: each request waits for a
     * few service times.
     */
    private static final int GROUPS = 8;

    /**
     * A group that runs for longer than this no longer blocks other suspects, except where one of them must run alone.
     */
    private static final long GROUP_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    private final List<LocalRun> waiting = new ArrayList<>();
    private final List<LocalRun> group = new ArrayList<>();
    private int groupsLeft = GROUPS;
    private long groupStartedNanos;
    private long earliestStartNanos = Long.MIN_VALUE;

    void add(LocalRun run) {
        waiting.add(run);
    }

    /**
     * Adds a running request, which was not suspected when it began, to the running group, so that waiting suspects
     * wait for its end.
     *
     * <p>If the copy crashed while it and another suspect ran, either could be the cause.
     */
    void join(LocalRun run) {
        if (!group.contains(run)) {
            if (group.isEmpty()) {
                groupStartedNanos = run.startedNanos();
            }
            group.add(run);
        }
    }

    /** Removes a request that was answered, refused or abandoned. */
    void remove(LocalRun run) {
        group.remove(run);
        waiting.remove(run);
    }

    /** Returns the waiting requests, as a view that changes with this queue. */
    List<LocalRun> waiting() {
        return Collections.unmodifiableList(waiting);
    }

    /** Starts no request before the given time. */
    void delayUntil(long nanos) {
        earliestStartNanos = nanos;
    }

    /**
     * Returns when waiting requests may be started beside the running ones, {@link Long#MAX_VALUE} if none waits for
     * that.
     */
    long nextNanos() {
        if (waiting.isEmpty()) {
            return Long.MAX_VALUE;
        }
        if (group.isEmpty()) {
            return earliestStartNanos;
        }
        return mayRunTogether(nextGroup())
                ? Math.max(earliestStartNanos, groupStartedNanos + GROUP_TIMEOUT_NANOS)
                : Long.MAX_VALUE;
    }

    /** Removes and returns the requests that may be started now. */
    List<LocalRun> release(long now) {
        if (waiting.isEmpty() || now < earliestStartNanos) {
            return List.of();
        }
        List<LocalRun> next = nextGroup();
        boolean timedOut = now - groupStartedNanos >= GROUP_TIMEOUT_NANOS;
        if (!group.isEmpty() && !(timedOut && mayRunTogether(next))) {
            return List.of();
        }
        groupStartedNanos = now;
        group.addAll(next);
        waiting.removeAll(next);
        groupsLeft = waiting.isEmpty() ? GROUPS : Math.max(1, groupsLeft - 1);
        return next;
    }

    private boolean mayRunTogether(List<LocalRun> next) {
        return Stream.concat(group.stream(), next.stream()).noneMatch(LocalRun::mustRunAlone);
    }

    /**
     * Chooses the requests to start next: first those whose fingerprint most requests wait with, since one answer
     * clears all of them; of equals, the longest waiting ones.
     */
    private List<LocalRun> nextGroup() {
        Map<Fingerprint, List<LocalRun>> byFingerprint = new LinkedHashMap<>();
        for (LocalRun run : waiting) {
            byFingerprint
                    .computeIfAbsent(run.suspected().orElseThrow(), _ -> new ArrayList<>())
                    .add(run);
        }
        List<LocalRun> first = byFingerprint.values().stream()
                .sorted(Comparator.comparingInt(runs -> -runs.size()))
                .map(List::getFirst)
                .toList();
        if (first.getFirst().mustRunAlone()) {
            return List.of(first.getFirst());
        }
        int most = (first.size() + groupsLeft - 1) / groupsLeft;
        return first.stream().filter(run -> !run.mustRunAlone()).limit(most).toList();
    }
}
