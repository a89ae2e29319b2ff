package org.carawaysill.node.exchange;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.node.observation.ConnectionFault;

/** Tracks the current phase of one connection and its time limit. Not thread safe: confined to the event loop. */
final class ConnectionWatch {

    private final ConnectionLimits limits;

    private Optional<ConnectionFault> faultOnTimeout = Optional.of(ConnectionFault.SLOW_HEADER);

    private long dueNanos;

    ConnectionWatch(ConnectionLimits limits) {
        this.limits = limits;
        expect(ConnectionFault.SLOW_HEADER, limits.header());
    }

    void bodyExpected() {
        expect(ConnectionFault.SLOW_BODY, limits.body());
    }

    void answerAwaited() {
        faultOnTimeout = Optional.empty();
    }

    void answerWriting() {
        expect(ConnectionFault.SLOW_READER, limits.write());
    }

    void answerWritten() {
        expect(ConnectionFault.SLOW_HEADER, limits.idle());
    }

    private void expect(ConnectionFault fault, Duration limit) {
        faultOnTimeout = Optional.of(fault);
        dueNanos = System.nanoTime() + limit.toNanos();
    }

    Optional<ConnectionFault> faultAt(long nanos) {
        return nanos - dueNanos >= 0 ? faultOnTimeout : Optional.empty();
    }
}
