package org.carawaysill.node.entry;

import org.carawaysill.node.memory.Holder;
import org.carawaysill.node.memory.MemoryAccount;
import org.carawaysill.node.memory.Reservation;

/**
 * The memory that one client connection makes the node hold, except for a body that arrives.
 *
 * <p>Invariant: nothing is held after {@link #close}, whatever is asked for then. Not thread safe: confined to the event
 * loop.
 */
final class ConnectionMemory {

    /** An idle connection with its pipeline, and what the operating system's socket takes in this process. */
    static final int CONNECTION_BYTES = 4 * 1024;

    /** What the node records of an open request beside its head and body. */
    static final int REQUEST_BYTES = 4 * 1024;

    /** The size from which a request is large; heads of usual clients are far below. */
    private static final int LARGE_BYTES = 8 * 1024;

    /** The part of all memory from which a connection waits for answers before more of its requests are read. */
    private static final int PARTS_PER_CONNECTION = 16;

    private final MemoryAccount account;
    private final Reservation connection;
    private final Reservation input;
    private final Reservation requests;
    private final Reservation bodies;
    private final Reservation answers;
    private boolean closed;

    ConnectionMemory(MemoryAccount account) {
        this.account = account;
        connection = account.reservation(Holder.CONNECTIONS);
        input = account.reservation(Holder.INPUT);
        requests = account.reservation(Holder.REQUESTS);
        bodies = account.reservation(Holder.BODIES);
        answers = account.reservation(Holder.ANSWERS);
    }

    /** Holds the connection itself; returns false if there is no room for it. */
    boolean open() {
        return connection.resize(CONNECTION_BYTES);
    }

    /** Holds bytes that form no complete head yet; returns false if there is no room for them. */
    boolean holdInput(long bytes) {
        return closed || input.resize(bytes);
    }

    /** Holds the head of a request; returns false if there is no room for it. */
    boolean holdRequest(long headBytes) {
        long added = headBytes + REQUEST_BYTES;
        boolean hasRoom = added <= LARGE_BYTES || account.hasRoomForLarge(added);
        return !closed && hasRoom && requests.add(added);
    }

    /** Holds a complete body, whose own reservation has just been given back. */
    void holdBody(long bytes) {
        bodies.add(bytes);
    }

    /** Gives back a request that was held. */
    void release(EntryExchange exchange) {
        requests.add(-exchange.headBytes() - REQUEST_BYTES);
        bodies.add(-exchange.bodyBytes());
    }

    /** Gives back the head of a request that ends before its body is complete. */
    void releaseHead(long headBytes) {
        requests.add(-headBytes - REQUEST_BYTES);
    }

    /** Holds answers that the client has not read; returns false if there is no room for them. */
    boolean holdAnswers(long bytes) {
        return closed || answers.resize(bytes);
    }

    /** Returns the size of the answers that are held. */
    long answerBytes() {
        return answers.bytes();
    }

    /** Returns whether open requests take so much that no further ones should be read. */
    boolean isFull() {
        long open = requests.bytes() + bodies.bytes();
        return open > account.limit() / PARTS_PER_CONNECTION || open > 0 && account.isUnderPressure();
    }

    /** Gives everything back. */
    void close() {
        closed = true;
        connection.close();
        input.close();
        requests.close();
        bodies.close();
        answers.close();
    }
}
