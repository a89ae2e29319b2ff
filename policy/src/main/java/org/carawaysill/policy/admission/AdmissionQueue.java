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
 * Requests that wait for a slot, in order of importance and in order of the moment at which waiting becomes pointless.
 *
 * <p>Importance is the priority, then the work already invested in the request, seen by its depth. Requests equal in both
 * are ordered by deadline; the caller chooses from which end they are taken. Invariant: both orders and the counts by
 * level hold the same requests, each attempt once. Every change costs the logarithm of the queue's length. Not thread
 * safe.
 */
final class AdmissionQueue {

    private static final Comparator<AttemptIdentifier> BY_BITS =
            Comparator.comparingLong(AttemptIdentifier::high).thenComparingLong(AttemptIdentifier::low);

    private final TreeMap<Place, Waiting> byImportance = new TreeMap<>();
    private final TreeSet<Waiting> byLatestStart =
            new TreeSet<>(Comparator.comparingLong(Waiting::latestStartNanos).thenComparing(Waiting::attempt, BY_BITS));
    private final Map<AttemptIdentifier, Waiting> byAttempt = new HashMap<>();
    private final int[] countByLevel = new int[Priority.MAXIMUM + 1];

    void add(Candidate candidate, long latestStartNanos) {
        Waiting waiting = new Waiting(candidate, latestStartNanos);
        byImportance.put(Place.of(candidate), waiting);
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
        Place first = byImportance.firstKey();
        Place place = mostTimeLeft ? byImportance.floorKey(first.lastOfEquals()) : first;
        return remove(byImportance.get(place));
    }

    /**
     * Removes the request to give up.
     *
     * @param leastTimeLeft whether the one with the least time left goes first among equally important ones
     * @return the request
     */
    Candidate removeLeastImportant(boolean leastTimeLeft) {
        Place last = byImportance.lastKey();
        Place place = leastTimeLeft ? byImportance.ceilingKey(last.firstOfEquals()) : last;
        return remove(byImportance.get(place));
    }

    /**
     * Removes a request for which it is too late.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the request with the earliest latest start, if that has come
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
     * Tells the lowest level that waits.
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
     * Tells when a request must be given up.
     *
     * @return the earliest latest start, {@link Long#MAX_VALUE} if nothing waits
     */
    long nextLatestStartNanos() {
        return isEmpty() ? Long.MAX_VALUE : byLatestStart.first().latestStartNanos();
    }

    private Candidate remove(Waiting waiting) {
        Candidate candidate = waiting.candidate();
        byImportance.remove(Place.of(candidate));
        byLatestStart.remove(waiting);
        byAttempt.remove(candidate.attempt());
        countByLevel[candidate.priority().level()]--;
        return candidate;
    }

    private record Waiting(Candidate candidate, long latestStartNanos) {

        AttemptIdentifier attempt() {
            return candidate.attempt();
        }
    }

    /** A place in the order of importance, the most important first. */
    private record Place(Priority priority, int depth, long deadlineNanos, AttemptIdentifier attempt)
            implements Comparable<Place> {

        private static final AttemptIdentifier LOWEST = new AttemptIdentifier(Long.MIN_VALUE, Long.MIN_VALUE);
        private static final AttemptIdentifier HIGHEST = new AttemptIdentifier(Long.MAX_VALUE, Long.MAX_VALUE);
        private static final Comparator<Place> ORDER = Comparator.comparing(Place::priority, Comparator.reverseOrder())
                .thenComparing(Place::depth, Comparator.reverseOrder())
                .thenComparingLong(Place::deadlineNanos)
                .thenComparing(Place::attempt, BY_BITS);

        static Place of(Candidate candidate) {
            return new Place(candidate.priority(), candidate.depth(), candidate.deadlineNanos(), candidate.attempt());
        }

        Place firstOfEquals() {
            return new Place(priority, depth, Long.MIN_VALUE, LOWEST);
        }

        Place lastOfEquals() {
            return new Place(priority, depth, Long.MAX_VALUE, HIGHEST);
        }

        @Override
        public int compareTo(Place other) {
            return ORDER.compare(this, other);
        }
    }
}
