package org.carawaysill.node.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Holds the exchanges whose connections ended until it is known whether the copy has ended or only their connections.
 *
 * <p>Invariant: at most one probe is in progress. Not thread safe: confined to the event loop.
 */
final class BrokenExchanges {

    /**
     * If a copy's connections end one by one, the check stops after this number of probes and the requests are
     * answered.
     */
    private static final int MAXIMUM_PROBES = 6;

    private final List<BrokenExchange> waiting = new ArrayList<>();
    private final Set<CopyConnection> others = new HashSet<>();
    private int probes;
    private int remaining;

    /**
     * Adds an exchange and returns whether the copy must be probed.
     *
     * @param broken the exchange
     * @param open the connections that have not ended
     */
    boolean add(BrokenExchange broken, Collection<CopyConnection> open) {
        waiting.add(broken);
        if (probes > 0) {
            return false;
        }
        probes = 1;
        others.addAll(open);
        broken.exchange().connection().ifPresent(others::remove);
        remaining = others.size();
        return true;
    }

    /** Ignores a connection that this side closes, since its end says nothing about the copy. */
    void ignore(CopyConnection closedHere) {
        others.remove(closedHere);
    }

    /** Returns whether other connections were open when the first one ended, and all of them have ended since. */
    boolean haveAllOthersEnded(Collection<CopyConnection> open) {
        return !others.isEmpty() && !isAnyOtherOpen(open);
    }

    /** Returns whether one of the other connections is still open, so that the copy's process has not ended. */
    boolean isAnyOtherOpen(Collection<CopyConnection> open) {
        return !Collections.disjoint(others, open);
    }

    /**
     * Returns whether to probe again, because more connections, or the probe's own connection, ended since the last
     * probe.
     */
    boolean needsAnotherProbe(Collection<CopyConnection> open, boolean probeEnded) {
        int before = remaining;
        remaining = othersStillOpen(open);
        return (remaining < before || probeEnded) && probes++ < MAXIMUM_PROBES;
    }

    /** Returns the exchange that started the check. */
    BrokenExchange first() {
        return waiting.getFirst();
    }

    int probes() {
        return probes;
    }

    /** Returns how many other connections were open when the first one ended. */
    int othersCount() {
        return others.size();
    }

    /** Returns how many of the other connections are still open. */
    int othersStillOpen(Collection<CopyConnection> open) {
        return (int) others.stream().filter(open::contains).count();
    }

    /** Removes and returns all exchanges once the check is decided. */
    List<BrokenExchange> removeAll() {
        List<BrokenExchange> taken = List.copyOf(waiting);
        waiting.clear();
        others.clear();
        probes = 0;
        return taken;
    }
}
