package org.carawaysill.policy.detection;

/** Chen's failure detector: suspects a node from the expected arrival of its next heartbeat plus a constant margin. */
final class ChenDetector implements Detector {

    private static final int WARM_UP = 5;

    private final ArrivalWindow window = new ArrivalWindow(HeartbeatTrace.INTERVAL);
    private final double marginNanos;
    private final long initialTimeoutNanos;

    ChenDetector(double marginNanos, long initialTimeoutNanos) {
        this.marginNanos = marginNanos;
        this.initialTimeoutNanos = initialTimeoutNanos;
    }

    @Override
    public void heartbeat(long now, int sequence) {
        window.add(now, sequence);
    }

    @Override
    public long suspectsFromNanos() {
        if (window.size() < WARM_UP) {
            return window.size() == 0 ? Long.MAX_VALUE : window.last() + initialTimeoutNanos;
        }
        return (long) (window.expectedNext() + marginNanos);
    }
}
