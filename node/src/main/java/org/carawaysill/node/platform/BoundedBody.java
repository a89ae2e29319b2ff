package org.carawaysill.node.platform;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.WriteStream;
import org.jspecify.annotations.Nullable;

/**
 * Collects a body up to a size limit.
 *
 * <p>Guards against an endless answer of a platform service, which would exhaust the heap. Invariant: never holds more
 * bytes than its limit. Not thread safe: confined to the event loop.
 */
final class BoundedBody implements WriteStream<Buffer> {

    private final int limitBytes;

    private final Buffer parts = Buffer.buffer();

    BoundedBody(int limitBytes) {
        this.limitBytes = limitBytes;
    }

    String text() {
        return parts.toString();
    }

    @Override
    public Future<Void> write(Buffer part) {
        if (parts.length() + part.length() > limitBytes) {
            return Future.failedFuture(new IllegalStateException("the answer is larger than " + limitBytes + " bytes"));
        }
        parts.appendBuffer(part);
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> end() {
        return Future.succeededFuture();
    }

    @Override
    public WriteStream<Buffer> exceptionHandler(@Nullable Handler<Throwable> handler) {
        return this;
    }

    @Override
    public WriteStream<Buffer> setWriteQueueMaxSize(int maxSize) {
        return this;
    }

    @Override
    public boolean writeQueueFull() {
        return false;
    }

    @Override
    public WriteStream<Buffer> drainHandler(@Nullable Handler<Void> handler) {
        return this;
    }
}
