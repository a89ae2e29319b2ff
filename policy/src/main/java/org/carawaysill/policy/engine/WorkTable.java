package org.carawaysill.policy.engine;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;

/**
 * Indexes the work in progress by origin, by current attempt and, for work that this node holds, by request identifier.
 *
 * <p>Invariant: only unfinished work is found, so a late answer finds none. Not thread safe: owned by the policy.
 */
final class WorkTable {

    private final Map<ExchangeIdentifier, Work> byExchange = new HashMap<>();
    private final Map<WorkOrigin.FromPeer, Work> byPeer = new HashMap<>();
    private final Map<AttemptIdentifier, Work> byAttempt = new HashMap<>();
    private final Map<RequestIdentifier, Work> held = new HashMap<>();

    void add(Work work) {
        work.origins().forEach(origin -> register(origin, work));
        if (work.held()) {
            held.put(work.facts().request(), work);
        }
    }

    /** Adds an origin that waits for the outcome of work in progress. */
    void attach(Work work, WorkOrigin origin) {
        work.origins().add(origin);
        register(origin, work);
    }

    private void register(WorkOrigin origin, Work work) {
        switch (origin) {
            case WorkOrigin.FromCaller caller -> byExchange.put(caller.exchange(), work);
            case WorkOrigin.FromCopy copy -> byExchange.put(copy.exchange(), work);
            case WorkOrigin.FromPeer peer -> byPeer.put(peer, work);
        }
    }

    void remove(Work work) {
        work.origins().forEach(this::removeOrigin);
        work.current().ifPresent(attempt -> byAttempt.remove(attempt.identifier()));
        if (work.held()) {
            held.remove(work.facts().request());
        }
    }

    void removeOrigin(WorkOrigin origin) {
        switch (origin) {
            case WorkOrigin.FromCaller caller -> byExchange.remove(caller.exchange());
            case WorkOrigin.FromCopy copy -> byExchange.remove(copy.exchange());
            case WorkOrigin.FromPeer peer -> byPeer.remove(peer);
        }
    }

    void startAttempt(Work work, Attempt attempt) {
        work.current(Optional.of(attempt));
        byAttempt.put(attempt.identifier(), work);
    }

    void endAttempt(Work work) {
        work.current().ifPresent(attempt -> byAttempt.remove(attempt.identifier()));
        work.current(Optional.empty());
    }

    Optional<Work> byExchange(ExchangeIdentifier exchange) {
        return Optional.ofNullable(byExchange.get(exchange));
    }

    Optional<Work> byPeer(NodeName peer, AttemptIdentifier attempt) {
        return Optional.ofNullable(byPeer.get(new WorkOrigin.FromPeer(peer, attempt)));
    }

    Optional<Work> byAttempt(AttemptIdentifier attempt) {
        return Optional.ofNullable(byAttempt.get(attempt));
    }

    Optional<Work> held(RequestIdentifier request) {
        return Optional.ofNullable(held.get(request));
    }

    /** Returns the work whose current attempt is at a given other node. */
    List<Work> atPeer(NodeName peer) {
        return byAttempt.values().stream()
                .filter(work -> work.current()
                        .filter(attempt -> attempt instanceof Attempt.AtPeer(var identifier, NodeName at, var sent)
                                && at.equals(peer))
                        .isPresent())
                .toList();
    }

    boolean isEmpty() {
        return byExchange.isEmpty() && byPeer.isEmpty() && byAttempt.isEmpty() && held.isEmpty();
    }

    Collection<Work> heldWork() {
        return held.values();
    }
}
