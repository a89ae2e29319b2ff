package org.carawaysill.policy.fleet.body;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;

/**
 * The slots of the local copy that requests hold whose bodies have not arrived.
 *
 * <p>Invariants: no place is held longer than {@link #LIMIT}, nor after the time at which its request is too late to be
 * refused; a request whose place has ended never gets another one. Not thread safe: owned by the policy.
 */
public final class HeldPlaces {

    /**
     * How long a place waits for its body: a message to another availability zone and a body of some hundred kilobytes
     * back, over a link with a small part of its usual rate.
     */
    public static final Duration LIMIT = Duration.ofMillis(500);

    private final Map<AttemptIdentifier, Place> places = new LinkedHashMap<>();

    /** A place, and when it lapses. */
    private record Place(LocalRun run, long grantedNanos, long lapsesNanos) {}

    /**
     * Holds the slot of a request that was started without its body.
     *
     * @param now the monotonic time
     * @param run the request
     * @param latestNanos when the request must be refused at the latest
     */
    public void grant(long now, LocalRun run, long latestNanos) {
        places.put(run.request().attempt(), new Place(run, now, Math.min(now + LIMIT.toNanos(), latestNanos)));
    }

    /**
     * Ends the place of a request, if it holds one.
     *
     * @param run the request
     */
    public void release(LocalRun run) {
        places.remove(run.request().attempt());
    }

    /**
     * Returns when the place of a request was granted.
     *
     * @param run the request, which holds a place
     * @return the monotonic time
     */
    public long grantedNanos(LocalRun run) {
        return places.get(run.request().attempt()).grantedNanos();
    }

    /**
     * Returns the requests that hold places.
     *
     * @return the requests, in the order of their grants
     */
    public List<LocalRun> all() {
        return places.values().stream().map(Place::run).toList();
    }

    /**
     * Returns the requests whose bodies have not arrived in time.
     *
     * @param now the monotonic time
     * @return the requests, which still hold their places
     */
    public List<LocalRun> lapsed(long now) {
        return places.isEmpty()
                ? List.of()
                : places.values().stream()
                        .filter(place -> place.lapsesNanos() <= now)
                        .map(Place::run)
                        .toList();
    }

    /**
     * Returns when the next place lapses.
     *
     * @return the monotonic time, {@link Long#MAX_VALUE} if no place is held
     */
    public long nextNanos() {
        long next = Long.MAX_VALUE;
        for (Place place : places.values()) {
            next = Math.min(next, place.lapsesNanos());
        }
        return next;
    }

    /**
     * Returns a request together with its body.
     *
     * @param now the monotonic time, at which the body arrived
     * @param run the request without its body
     * @param body its body
     * @return the same attempt, as if it had been sent whole now
     */
    public static CopyRequest whole(long now, LocalRun run, Body body) {
        CopyRequest request = run.request();
        RequestContent content = request.content();
        return new CopyRequest(
                request.attempt(),
                request.requestName(),
                request.service(),
                request.copy(),
                request.callerService(),
                request.organisation(),
                request.rootRoute(),
                request.rank(),
                request.idempotent(),
                request.depth(),
                now - run.rootArrivedNanos(),
                run.deadlineNanos() - now,
                request.lastChoice(),
                request.knownLimit(),
                request.route(),
                request.caller(),
                false,
                new RequestContent(content.method(), content.path(), content.headers(), body));
    }
}
