package org.carawaysill.policy.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Priority;

/**
 * Holds the requests that wait for a slot, ordered by importance and by the latest time at which starting them is useful.
 *
 * <p>Requests are ranked by priority, then by depth, which stands for the work already invested in the request. Requests
 * equal in both are ordered by deadline; the caller chooses from which end they are taken. Invariant: both orders and
 * the counts by level hold the same requests, each attempt once. Every change takes time logarithmic in the queue's
 * length. Not thread safe.
 */
final class AdmissionQueue {

    private static final Comparator<AttemptIdentifier> BY_BITS =
            Comparator.comparingLong(AttemptIdentifier::high).thenComparingLong(AttemptIdentifier::low);

    private final TreeMap<Rank, WaitingRequest> byImportance = new TreeMap<>();
    private final TreeSet<WaitingRequest> byLatestStart = new TreeSet<>(
            Comparator.comparingLong(WaitingRequest::latestStartNanos).thenComparing(WaitingRequest::attempt, BY_BITS));
    private final Map<AttemptIdentifier, WaitingRequest> byAttempt = new HashMap<>();
    private final int[] countByLevel = new int[Priority.MAXIMUM + 1];

    void add(Candidate candidate, long latestStartNanos) {
        WaitingRequest waiting = new WaitingRequest(candidate, latestStartNanos);
        byImportance.put(Rank.of(candidate), waiting);
        byLatestStart.add(waiting);
        byAttempt.put(candidate.attempt(), waiting);
        countByLevel[candidate.priority().level()]++;
    }

    Optional<Candidate> remove(AttemptIdentifier attempt) {
        return Optional.ofNullable(byAttempt.get(attempt)).map(this::remove);
    }

    /**
     * Removes the request to run next.
     *
     * @param mostTimeLeft whether the one with the most time left goes first among equally important ones
     * @return the request
     */
    Candidate removeMostImportant(boolean mostTimeLeft) {
        Rank first = byImportance.firstKey();
        Rank rank = mostTimeLeft ? byImportance.floorKey(first.lastOfEquals()) : first;
        return remove(byImportance.get(rank));
    }

    /**
     * Removes the request to refuse first.
     *
     * @param leastTimeLeft whether the one with the least time left goes first among equally important ones
     * @return the request
     */
    Candidate removeLeastImportant(boolean leastTimeLeft) {
        Rank last = byImportance.lastKey();
        Rank rank = leastTimeLeft ? byImportance.ceilingKey(last.firstOfEquals()) : last;
        return remove(byImportance.get(rank));
    }

    /**
     * Removes a request whose latest start has passed.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the request with the earliest latest start, if that is not after {@code now}
     */
    Optional<Candidate> removeOverdue(long now) {
        return nextLatestStartNanos() > now ? Optional.empty() : Optional.of(remove(byLatestStart.first()));
    }

    boolean contains(AttemptIdentifier attempt) {
        return byAttempt.containsKey(attempt);
    }

    int size() {
        return byAttempt.size();
    }

    boolean isEmpty() {
        return byAttempt.isEmpty();
    }

    /**
     * Returns the lowest priority level among the waiting requests.
     *
     * @return the level, above {@link Priority#MAXIMUM} if nothing waits
     */
    int lowestLevel() {
        return isEmpty()
                ? Priority.MAXIMUM + 1
                : byImportance.lastKey().priority().level();
    }

    int countAt(int level) {
        return countByLevel[level];
    }

    /**
     * Returns when the next waiting request becomes overdue.
     *
     * @return the earliest latest start, {@link Long#MAX_VALUE} if nothing waits
     */
    long nextLatestStartNanos() {
        return isEmpty() ? Long.MAX_VALUE : byLatestStart.first().latestStartNanos();
    }

    private Candidate remove(WaitingRequest waiting) {
        Candidate candidate = waiting.candidate();
        byImportance.remove(Rank.of(candidate));
        byLatestStart.remove(waiting);
        byAttempt.remove(candidate.attempt());
        countByLevel[candidate.priority().level()]--;
        return candidate;
    }

    private record WaitingRequest(Candidate candidate, long latestStartNanos) {

        AttemptIdentifier attempt() {
            return candidate.attempt();
        }
    }

    /** Sort key of a waiting request, the most important first. */
    private record Rank(Priority priority, int depth, long deadlineNanos, AttemptIdentifier attempt)
            implements Comparable<Rank> {

        private static final AttemptIdentifier LOWEST = new AttemptIdentifier(Long.MIN_VALUE, Long.MIN_VALUE);
        private static final AttemptIdentifier HIGHEST = new AttemptIdentifier(Long.MAX_VALUE, Long.MAX_VALUE);
        private static final Comparator<Rank> ORDER = Comparator.comparing(Rank::priority, Comparator.reverseOrder())
                .thenComparing(Rank::depth, Comparator.reverseOrder())
                .thenComparingLong(Rank::deadlineNanos)
                .thenComparing(Rank::attempt, BY_BITS);

        static Rank of(Candidate candidate) {
            return new Rank(candidate.priority(), candidate.depth(), candidate.deadlineNanos(), candidate.attempt());
        }

        Rank firstOfEquals() {
            return new Rank(priority, depth, Long.MIN_VALUE, LOWEST);
        }

        Rank lastOfEquals() {
            return new Rank(priority, depth, Long.MAX_VALUE, HIGHEST);
        }

        @Override
        public int compareTo(Rank other) {
            return ORDER.compare(this, other);
        }
    }
}
