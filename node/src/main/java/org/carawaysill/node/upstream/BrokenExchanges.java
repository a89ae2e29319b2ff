package org.carawaysill.node.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Exchanges whose connections ended, until it is known whether the copy has ended or only their connections.
 *
 * <p>Invariant: at most one question is open. Confined to the event loop.
 */
final class BrokenExchanges {

    /** A copy whose connections end one by one is given up on after so many questions, and its requests are answered. */
    private static final int MOST_QUESTIONS = 6;

    private final List<BrokenExchange> waiting = new ArrayList<>();
    private final Set<CopyConnection> others = new HashSet<>();
    private int questions;
    private int left;

    /**
     * Adds one; tells whether the copy is to be asked.
     *
     * @param broken the exchange
     * @param open the connections that have not ended
     */
    boolean add(BrokenExchange broken, Collection<CopyConnection> open) {
        waiting.add(broken);
        if (questions > 0) {
            return false;
        }
        questions = 1;
        others.addAll(open);
        broken.exchange().connection().ifPresent(others::remove);
        left = others.size();
        return true;
    }

    /** Returns whether there were other connections when the first one ended, and all of them have ended since. */
    boolean areAllGone(Collection<CopyConnection> open) {
        return !others.isEmpty() && !isAnyOpen(open);
    }

    /** Returns whether one of the other connections is still open: the copy's process has not ended. */
    boolean isAnyOpen(Collection<CopyConnection> open) {
        return !Collections.disjoint(others, open);
    }

    /** Returns whether to ask again: more of the connections have ended since the last question, or that of the question. */
    boolean isOpenStill(Collection<CopyConnection> open, boolean answerEnded) {
        int before = left;
        left = (int) others.stream().filter(open::contains).count();
        return (left < before || answerEnded) && questions++ < MOST_QUESTIONS;
    }

    /** Takes out all of them once the answer is there. */
    List<BrokenExchange> take() {
        List<BrokenExchange> taken = List.copyOf(waiting);
        waiting.clear();
        others.clear();
        questions = 0;
        return taken;
    }
}
