package org.carawaysill.node.upstream;

import java.util.ArrayList;
import java.util.List;

/**
 * Exchanges whose connections ended, until it is known whether the copy has ended or only their connections.
 *
 * <p>Invariant: at most one question is open. Confined to the event loop.
 */
final class BrokenExchanges {

    private final List<BrokenExchange> waiting = new ArrayList<>();
    private boolean asked;

    /** Adds one; tells whether the copy is to be dialled to find out. */
    boolean add(BrokenExchange broken) {
        waiting.add(broken);
        boolean first = !asked;
        asked = true;
        return first;
    }

    /** Takes out all of them once the answer is there. */
    List<BrokenExchange> take() {
        List<BrokenExchange> taken = List.copyOf(waiting);
        waiting.clear();
        asked = false;
        return taken;
    }
}
