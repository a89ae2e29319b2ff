package org.carawaysill.node.memory;

/**
 * The memory of one holder, which changes with what it holds.
 *
 * <p>Invariant: it is part of its account until it is closed. Not thread safe: confined to the event loop.
 */
public final class Reservation implements AutoCloseable {

    private final MemoryAccount account;
    private final Holder holder;
    private long bytes;

    Reservation(MemoryAccount account, Holder holder) {
        this.account = account;
        this.holder = holder;
    }

    /**
     * Changes the size.
     *
     * @param newBytes the new size
     * @return whether there was room for it; if not, the size is as before. There always is for a smaller size.
     */
    public boolean resize(long newBytes) {
        if (!account.change(holder, newBytes - bytes)) {
            return false;
        }
        bytes = newBytes;
        return true;
    }

    /**
     * Enlarges the reservation.
     *
     * @param added by how much
     * @return whether there was room for it; if not, the size is as before
     */
    public boolean add(long added) {
        return resize(bytes + added);
    }

    /**
     * Returns the present size.
     *
     * @return the number of bytes
     */
    public long bytes() {
        return bytes;
    }

    /** Gives everything back. */
    @Override
    public void close() {
        resize(0);
    }
}
