package org.carawaysill.policy.detection;

/** Suspects a node when its silence exceeds all but a fraction 10^-threshold of normally distributed intervals. */
final class PhiAccrualDetector implements Detector {

    private static final int WARM_UP = 5;
    private static final double STEPS = 1_000;

    private final ArrivalWindow window = new ArrivalWindow(HeartbeatTrace.INTERVAL);
    private final double deviations;
    private final double minimumDeviationNanos;
    private final long initialTimeoutNanos;

    PhiAccrualDetector(double threshold, double minimumDeviationNanos, long initialTimeoutNanos) {
        this.deviations = deviationsAt(threshold);
        this.minimumDeviationNanos = minimumDeviationNanos;
        this.initialTimeoutNanos = initialTimeoutNanos;
    }

    /**
     * Returns the number of standard deviations above the mean beyond which 10^-threshold of a normal distribution
     * lies.
     */
    private static double deviationsAt(double threshold) {
        double wanted = Math.pow(10, -threshold);
        double tail = 0;
        double position = 12;
        while (tail < wanted && position > 0) {
            position -= 1 / STEPS;
            tail += Math.exp(-position * position / 2) / Math.sqrt(2 * Math.PI) / STEPS;
        }
        return position;
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
        double deviation = Math.max(minimumDeviationNanos, window.standardDeviation());
        return (long) (window.last() + window.meanInterval() + deviations * deviation);
    }
}
