package org.carawaysill.node.upstream;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A channel to the local copy that can be checked for input before a request is written.
 *
 * <p>Not thread safe: confined to the event loop.
 */
final class CopyChannel extends NioSocketChannel {

    /**
     * Returns whether the copy has closed the connection, or has sent bytes that the event loop has not read yet.
     *
     * <p>A request that is written then never runs, or is followed by bytes that are not its answer. May consume a
     * byte, so that a channel with input must be closed.
     */
    boolean hasInput() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException reset) {
            return true;
        }
    }
}
