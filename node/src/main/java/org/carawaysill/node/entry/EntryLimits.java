package org.carawaysill.node.entry;

import org.carawaysill.model.fleet.ClientLimits;

/**
 * The limits of clients in force, and the memory that all their bodies may take.
 *
 * <p>Confined to the event loop.
 */
final class EntryLimits {

    private final long bodyMemory;
    private ClientLimits clients = ClientLimits.DEFAULTS;
    private long bodyBytes;

    /**
     * Starts with the default limits.
     *
     * @param bodyMemory the bytes that the bodies of all open exchanges may take together
     */
    EntryLimits(long bodyMemory) {
        this.bodyMemory = bodyMemory;
    }

    ClientLimits clients() {
        return clients;
    }

    void clients(ClientLimits newer) {
        clients = newer;
    }

    /**
     * Takes room for a part of a body. Guards against many large requests at a time, each within its own limit, which
     * would show as an exhausted heap and a dead process.
     *
     * @param bytes the size of the part
     * @return whether there was room
     */
    boolean take(int bytes) {
        if (bodyBytes + bytes > bodyMemory) {
            return false;
        }
        bodyBytes += bytes;
        return true;
    }

    void giveBack(int bytes) {
        bodyBytes -= bytes;
    }
}
