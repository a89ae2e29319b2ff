package org.carawaysill.node.entry;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.carawaysill.node.memory.Holder;
import org.carawaysill.node.memory.MemoryAccount;
import org.carawaysill.node.observation.ConnectionFault;

/**
 * The open connections of clients, and which of them are closed when there is no room for all.
 *
 * <p>Those that never completed a request go first, the oldest of them before newer ones, so that a request that arrives
 * whole is served beside connections that only occupy room. Invariants: a connection with a request that was passed on
 * is closed for nothing but answers that its client doesn't read; there are never more connections than the limit. Not
 * thread safe: confined to the event loop.
 */
final class ClientConnections {

    /** The part of all connections that is closed at a time for memory, so that they are not searched too often. */
    private static final int PARTS_PER_EVICTION = 16;

    private final MemoryAccount account;
    private final int limit;
    private final LongSupplier nanoTime;
    private final BoundLog bound;
    private final Set<EntryConnection> open = new HashSet<>();

    /**
     * Creates a table without connections.
     *
     * @param account the memory of all clients
     * @param limit how many connections may be open
     * @param nanoTime the monotonic time
     */
    ClientConnections(MemoryAccount account, int limit, LongSupplier nanoTime) {
        this.account = account;
        this.nanoTime = nanoTime;
        this.limit = limit;
        bound = new BoundLog(account);
    }

    /** Adds a connection; returns false if there is no room for it, even after others were closed. */
    boolean add(EntryConnection connection) {
        if (open.size() >= limit) {
            evict(1, _ -> true, ConnectionFault.TOO_MANY);
        }
        if (open.size() >= limit) {
            return false;
        }
        if (!makeRoom(connection.memory()::open)) {
            return false;
        }
        open.add(connection);
        return true;
    }

    void remove(EntryConnection connection) {
        open.remove(connection);
    }

    /**
     * Tries to reserve memory, and closes connections without requests until that succeeds.
     *
     * @return whether it succeeded
     */
    boolean makeRoom(BooleanSupplier reservation) {
        return makeRoom(reservation, _ -> true);
    }

    /** Tries to reserve memory, and closes only such connections without requests that fulfil a condition. */
    private boolean makeRoom(BooleanSupplier reservation, Predicate<EntryConnection> mayEnd) {
        while (!reservation.getAsBoolean()) {
            if (!evict(Math.max(1, open.size() / PARTS_PER_EVICTION), mayEnd, ConnectionFault.MEMORY_FULL)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Tries to reserve memory for the head of a request, and closes older connections that never sent one if that helps.
     *
     * @param asking the connection of the request, which stays open
     */
    boolean makeRoomForRequest(EntryConnection asking, BooleanSupplier reservation) {
        return makeRoom(reservation, asking::goesBefore);
    }

    /** Tries to reserve memory for a body in the same way. */
    boolean makeRoomForBody(EntryConnection asking, long bytes, BooleanSupplier reservation) {
        if (reservation.getAsBoolean()) {
            return true;
        }
        boolean bodiesAreFull = account.held(Holder.BODIES) + bytes > account.bodyLimit();
        return !bodiesAreFull && makeRoomForRequest(asking, reservation);
    }

    /**
     * Tries to reserve memory for answers, and closes connections without requests, and then those that leave the most
     * of their answers unread, until that succeeds.
     *
     * @return whether it succeeded; if not, the given connection is the one to close
     */
    boolean makeRoomForAnswers(EntryConnection receiver, BooleanSupplier reservation) {
        while (!makeRoom(reservation)) {
            Optional<EntryConnection> slowest = mostUnread();
            if (slowest.isEmpty() || slowest.get() == receiver) {
                return false;
            }
            slowest.get().end(ConnectionFault.MEMORY_FULL);
        }
        return true;
    }

    /** Closes some of the connections whose end costs their clients least; returns false if there are none. */
    private boolean evict(int count, Predicate<EntryConnection> mayEnd, ConnectionFault fault) {
        turnedAway();
        List<EntryConnection> expendable = open.stream()
                .filter(EntryConnection::isExpendable)
                .filter(mayEnd)
                .sorted(EntryConnection.LEAST_NEEDED_FIRST)
                .limit(count)
                .toList();
        expendable.forEach(connection -> connection.end(fault));
        return !expendable.isEmpty();
    }

    /** Returns the connection that leaves the most of its answers unread, of those that read nothing if there are any. */
    private Optional<EntryConnection> mostUnread() {
        long now = nanoTime.getAsLong();
        return open.stream()
                .filter(connection -> connection.memory().answerBytes() > 0)
                .max(Comparator.<EntryConnection, Boolean>comparing(connection -> connection.readsNothing(now))
                        .thenComparingLong(connection -> connection.memory().answerBytes()));
    }

    /** Returns all connections. */
    List<EntryConnection> all() {
        return List.copyOf(open);
    }

    int size() {
        return open.size();
    }

    int limit() {
        return limit;
    }

    /** Notes that a client is turned away. */
    void turnedAway() {
        bound.binds(nanoTime.getAsLong());
    }

    /** Ends connections that exceed a time limit. */
    void sweep() {
        long now = nanoTime.getAsLong();
        all().forEach(connection -> connection.sweep(now));
        bound.check(now);
    }
}
