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
 * Requests that are suspected to crash copies, in front of the one copy at which they may run.
 *
 * <p>They run a few at a time, at best one: if the copy crashes, the request that ran alone is known to be the cause, and if
 * it answers, that request is cleared. With all of them at once the next crash would tell nothing. Invariants: no two with
 * one fingerprint are at the copy; one that must run alone has no other suspect beside it; none goes to the copy before copies
 * that may end together have ended. Not thread safe: owned by the policy.
 */
final class SuspectQueue {

    /** In how many groups, one after the other, those that wait are let through: each waits for some service times. */
    private static final int GROUPS = 8;

    /** A suspect that works for longer than this holds up no others, but for those that must run alone. */
    private static final long LONGEST_TURN_NANOS = Duration.ofSeconds(1).toNanos();

    private final List<LocalRun> waiting = new ArrayList<>();
    private final List<LocalRun> group = new ArrayList<>();
    private int groupsLeft = GROUPS;
    private long groupStartedNanos;
    private long settledNanos = Long.MIN_VALUE;

    void add(LocalRun run) {
        waiting.add(run);
    }

    /**
     * Notes that a request at the copy is suspected that was not when it began: others wait for its end.
     *
     * <p>If the copy crashed under it and another suspect, either could be the cause.
     */
    void join(LocalRun run) {
        if (!group.contains(run)) {
            if (group.isEmpty()) {
                groupStartedNanos = run.startedNanos();
            }
            group.add(run);
        }
    }

    /** Forgets one that was answered, refused or given up. */
    void remove(LocalRun run) {
        group.remove(run);
        waiting.remove(run);
    }

    /** Those that wait; a view, which changes with this queue. */
    List<LocalRun> waiting() {
        return Collections.unmodifiableList(waiting);
    }

    /** Lets none go to the copy before a moment. */
    void settleUntil(long nanos) {
        settledNanos = nanos;
    }

    /** When others may go on beside those that are at the copy, {@link Long#MAX_VALUE} where none waits for that. */
    long nextNanos() {
        if (waiting.isEmpty()) {
            return Long.MAX_VALUE;
        }
        if (group.isEmpty()) {
            return settledNanos;
        }
        return mayShare(nextGroup()) ? Math.max(settledNanos, groupStartedNanos + LONGEST_TURN_NANOS) : Long.MAX_VALUE;
    }

    /** Takes out those that may go to the copy now. */
    List<LocalRun> release(long now) {
        if (waiting.isEmpty() || now < settledNanos) {
            return List.of();
        }
        List<LocalRun> next = nextGroup();
        boolean overlong = now - groupStartedNanos >= LONGEST_TURN_NANOS;
        if (!group.isEmpty() && !(overlong && mayShare(next))) {
            return List.of();
        }
        groupStartedNanos = now;
        group.addAll(next);
        waiting.removeAll(next);
        groupsLeft = waiting.isEmpty() ? GROUPS : Math.max(1, groupsLeft - 1);
        return next;
    }

    private boolean mayShare(List<LocalRun> next) {
        return Stream.concat(group.stream(), next.stream()).noneMatch(LocalRun::mustRunAlone);
    }

    /**
     * Chooses who goes next: first what most callers wait for, since one answer to it lets all of them through; of equals,
     * what has waited longest.
     */
    private List<LocalRun> nextGroup() {
        Map<Fingerprint, List<LocalRun>> byRequest = new LinkedHashMap<>();
        for (LocalRun run : waiting) {
            byRequest
                    .computeIfAbsent(run.suspected().orElseThrow(), _ -> new ArrayList<>())
                    .add(run);
        }
        List<LocalRun> first = byRequest.values().stream()
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
