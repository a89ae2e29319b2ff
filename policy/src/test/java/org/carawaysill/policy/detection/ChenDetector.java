package org.carawaysill.policy.detection;

/** Chen's estimator: the expected arrival of the next heartbeat plus a constant margin. */
final class ChenDetector implements Detector {

    private static final int WARM_UP = 5;

    private final ArrivalWindow window = new ArrivalWindow(HeartbeatTrace.INTERVAL);
    private final double marginNanos;
    private final long timeoutAtFirstNanos;

    ChenDetector(double marginNanos, long timeoutAtFirstNanos) {
        this.marginNanos = marginNanos;
        this.timeoutAtFirstNanos = timeoutAtFirstNanos;
    }

    @Override
    public void heartbeat(long now, int sequence) {
        window.add(now, sequence);
    }

    @Override
    public long suspectsFromNanos() {
        if (window.size() < WARM_UP) {
            return window.size() == 0 ? Long.MAX_VALUE : window.last() + timeoutAtFirstNanos;
        }
        return (long) (window.expectedNext() + marginNanos);
    }
}
