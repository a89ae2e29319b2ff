package org.carawaysill.model.request;

/**
 * Answers that connections have accepted and whose receivers have not read them: they are lost if the process ends.
 *
 * <p>Immutable and thread safe.
 *
 * @param connections the number of connections whose receivers still read
 * @param answers the number of answers of which bytes are left
 * @param bytes the number of those bytes, in this process
 */
public record UnwrittenAnswers(int connections, int answers, long bytes) {

    /** No connection has answers left. */
    public static final UnwrittenAnswers NONE = new UnwrittenAnswers(0, 0, 0);

    /**
     * Returns whether all answers are written.
     *
     * @return whether there are none
     */
    public boolean isEmpty() {
        return connections == 0;
    }

    /**
     * Adds the answers of other connections.
     *
     * @param others the answers of the other connections
     * @return the sum
     */
    public UnwrittenAnswers plus(UnwrittenAnswers others) {
        return new UnwrittenAnswers(connections + others.connections, answers + others.answers, bytes + others.bytes);
    }
}
