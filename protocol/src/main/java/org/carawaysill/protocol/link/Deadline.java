package org.carawaysill.protocol.link;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A timer that runs an action unless it is stopped in time. Confined to the event loop thread. */
final class Deadline {

    private final EventLoop eventLoop;
    private final Duration limit;
    private final Runnable action;
    private Optional<Future<?>> timer = Optional.empty();

    Deadline(EventLoop eventLoop, Duration limit, Runnable action) {
        this.eventLoop = eventLoop;
        this.limit = limit;
        this.action = action;
    }

    void start() {
        stop();
        timer = Optional.of(eventLoop.schedule(action, limit.toNanos(), TimeUnit.NANOSECONDS));
    }

    void stop() {
        timer.ifPresent(running -> running.cancel(false));
        timer = Optional.empty();
    }

    boolean isRunning() {
        return timer.isPresent();
    }
}
