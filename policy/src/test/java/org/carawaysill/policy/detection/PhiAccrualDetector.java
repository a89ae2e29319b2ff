package org.carawaysill.policy.detection;

/** Suspects when the silence is longer than all but a fraction 10^-threshold of normally distributed intervals. */
final class PhiAccrualDetector implements Detector {

    private static final int WARM_UP = 5;
    private static final double STEPS = 1_000;

    private final ArrivalWindow window = new ArrivalWindow(HeartbeatTrace.INTERVAL);
    private final double deviations;
    private final double leastDeviationNanos;
    private final long timeoutAtFirstNanos;

    PhiAccrualDetector(double threshold, double leastDeviationNanos, long timeoutAtFirstNanos) {
        this.deviations = deviationsAt(threshold);
        this.leastDeviationNanos = leastDeviationNanos;
        this.timeoutAtFirstNanos = timeoutAtFirstNanos;
    }

    /** How many standard deviations above the mean only 10^-threshold of a normal distribution lies. */
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
            return window.size() == 0 ? Long.MAX_VALUE : window.last() + timeoutAtFirstNanos;
        }
        double deviation = Math.max(leastDeviationNanos, window.standardDeviation());
        return (long) (window.last() + window.meanInterval() + deviations * deviation);
    }
}
