package org.carawaysill.node.exchange;

import io.netty.buffer.ByteBuf;

/**
 * Finds the end of the head that begins in a buffer.
 *
 * <p>Guards against heads that arrive slowly: Netty would decode each line as it arrives, and a decoded line takes many
 * times its bytes until the head is complete. Invariant: each byte is looked at once, however the head arrives. Not
 * thread safe: confined to the event loop.
 */
public final class HeadScan {

    private static final int NOT_FOUND = -1;

    private final int maximumLineBytes;
    private final int maximumHeadBytes;
    private int scannedBytes;
    private int lineStart;
    private int firstLineBytes;

    /**
     * Creates a scan of a head of which nothing has arrived.
     *
     * @param maximumLineBytes the greatest length of its first line
     * @param maximumHeadBytes the greatest size of the lines behind it
     */
    public HeadScan(int maximumLineBytes, int maximumHeadBytes) {
        this.maximumLineBytes = maximumLineBytes;
        this.maximumHeadBytes = maximumHeadBytes;
    }

    /**
     * Returns whether none of the head has been looked at.
     *
     * @return whether a head may still begin at another byte
     */
    public boolean isAtStart() {
        return scannedBytes == 0;
    }

    /**
     * Looks at the bytes that have arrived since the last call.
     *
     * @param buffer all bytes since the beginning of the head
     * @return whether it can be decoded: it is complete, or so large that it will be rejected
     */
    public boolean isDecodable(ByteBuf buffer) {
        return isComplete(buffer) || isTooLarge(buffer);
    }

    /** Begins with the next head. */
    public void restart() {
        scannedBytes = 0;
        lineStart = 0;
        firstLineBytes = 0;
    }

    private boolean isComplete(ByteBuf buffer) {
        int start = buffer.readerIndex();
        int lineEnd = buffer.indexOf(start + scannedBytes, buffer.writerIndex(), (byte) '\n');
        while (lineEnd != NOT_FOUND) {
            if (isEmptyLine(buffer, start + lineStart, lineEnd)) {
                return true;
            }
            lineStart = lineEnd + 1 - start;
            if (firstLineBytes == 0) {
                firstLineBytes = lineStart;
            }
            lineEnd = buffer.indexOf(lineEnd + 1, buffer.writerIndex(), (byte) '\n');
        }
        scannedBytes = buffer.readableBytes();
        return false;
    }

    private static boolean isEmptyLine(ByteBuf buffer, int start, int end) {
        return start == end || start + 1 == end && buffer.getByte(start) == '\r';
    }

    private boolean isTooLarge(ByteBuf buffer) {
        int limit = firstLineBytes == 0 ? maximumLineBytes : firstLineBytes + maximumHeadBytes;
        return buffer.readableBytes() > limit;
    }
}
