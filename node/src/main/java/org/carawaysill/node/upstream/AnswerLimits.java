package org.carawaysill.node.upstream;

/**
 * How many bytes a copy may send in reply to one request.
 *
 * <p>Guards against bytes without end: what is not kept in memory takes the node's time until the request's deadline.
 * Stateless and thread safe.
 */
final class AnswerLimits {

    /** The greatest length of a status line. */
    static final int MAXIMUM_LINE_BYTES = 8192;

    /** The greatest size of the header fields of one head. */
    static final int MAXIMUM_HEAD_BYTES = 64 * 1024;

    /** The greatest size of a body. */
    static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

    /** The greatest size of bodies that are not passed on: of answers to other requests and of refusals. */
    private static final int MAXIMUM_DISCARDED_BYTES = 1024 * 1024;

    /** The greatest size of all heads and framing together, without what a body needs for its chunks. */
    private static final int MAXIMUM_FRAMING_BYTES = 2 * MAXIMUM_HEAD_BYTES;

    /** How many bytes of a body may need another byte of framing: with smaller chunks, decoding takes too much time. */
    private static final int BODY_BYTES_PER_FRAMING_BYTE = 4;

    private AnswerLimits() {}

    /**
     * Returns whether an answer is larger than it may be.
     *
     * @param decodedBytes all bytes since the request was sent
     * @param keptBytes the bytes of the body that is passed on
     * @param discardedBytes the bytes of other bodies
     */
    static boolean areExceeded(long decodedBytes, long keptBytes, long discardedBytes) {
        long bodyBytes = keptBytes + discardedBytes;
        long framingBytes = decodedBytes - bodyBytes;
        return keptBytes > MAXIMUM_BODY_BYTES
                || discardedBytes > MAXIMUM_DISCARDED_BYTES
                || framingBytes > MAXIMUM_FRAMING_BYTES + bodyBytes / BODY_BYTES_PER_FRAMING_BYTE;
    }
}
