package org.carawaysill.standin.upstream;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.SequencedSet;

/**
 * The slots of a copy and the first-in, first-out queue of requests that wait for one.
 *
 * <p>Invariants: at most as many requests run as there are slots; no request waits while a slot is free; at most as
 * many requests run or wait as there are connections. Not thread safe: used on the event loop only.
 *
 * @param <T> a request, compared by identity or value
 */
final class SlotPool<T> {

    /** The result of adding a request. */
    enum Offer {
        /** The request has a slot. */
        RUN,
        /** The request waits for a slot. */
        WAIT,
        /** The copy has no free connection for the request. */
        REFUSED
    }

    private final int slots;
    private final int connections;
    private final SequencedSet<T> running = new LinkedHashSet<>();
    private final SequencedSet<T> waiting = new LinkedHashSet<>();

    SlotPool(int slots, int connections) {
        this.slots = slots;
        this.connections = connections;
    }

    /**
     * Adds a request if a connection is free.
     *
     * @param request the request
     * @return the result
     */
    Offer offer(T request) {
        if (running.size() < slots) {
            running.add(request);
            return Offer.RUN;
        }
        if (running.size() + waiting.size() >= connections) {
            return Offer.REFUSED;
        }
        waiting.add(request);
        return Offer.WAIT;
    }

    /**
     * Removes a request that runs or waits.
     *
     * @param request the request
     * @return the request that gets the slot, if one became free and one waits
     */
    Optional<T> remove(T request) {
        waiting.remove(request);
        if (!running.remove(request) || waiting.isEmpty()) {
            return Optional.empty();
        }
        T next = waiting.removeFirst();
        running.add(next);
        return Optional.of(next);
    }

    /**
     * Returns all requests, the waiting ones before the running ones.
     *
     * @return a copy of the list
     */
    List<T> requests() {
        List<T> all = new ArrayList<>(waiting);
        all.addAll(running);
        return all;
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }
}
