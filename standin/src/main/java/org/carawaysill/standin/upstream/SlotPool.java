package org.carawaysill.standin.upstream;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.SequencedSet;

/**
 * The slots of a copy and the requests that wait for one, first in, first out.
 *
 * <p>Invariants: never more running than slots; nothing waits while a slot is free; running and waiting together never
 * more than the connections. Not thread safe: used on the event loop only.
 *
 * @param <T> a request, compared by identity or value
 */
final class SlotPool<T> {

    /** What becomes of a new request. */
    enum Offer {
        /** It has a slot. */
        RUN,
        /** It waits for one. */
        WAIT,
        /** The copy has no connection left for it. */
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
     * Offers a new request.
     *
     * @param request the request
     * @return what becomes of it
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
     * Takes a request out, whether it runs or waits.
     *
     * @param request the request
     * @return the request that gets the slot, if one became free and one waits
     */
    Optional<T> leave(T request) {
        waiting.remove(request);
        if (!running.remove(request) || waiting.isEmpty()) {
            return Optional.empty();
        }
        T next = waiting.removeFirst();
        running.add(next);
        return Optional.of(next);
    }

    /**
     * Lists all requests, those that wait before those that run.
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
