package org.carawaysill.policy.detection;

/**
 * The self-tuning failure detector (SFD) of Xiong et al.: Chen's expected arrival plus a margin. The margin grows by a
 * step while the detector makes too many mistakes, and shrinks while detection takes longer than wanted.
 */
final class SelfTuningDetector implements Detector {

    private static final int WARM_UP = 5;
    private static final int SLOT = 50;

    private final ArrivalWindow window = new ArrivalWindow(HeartbeatTrace.INTERVAL);
    private final double stepNanos;
    private final long wantedDetectionNanos;
    private final double wantedMistakesPerHour;
    private final double wantedAccuracy;
    private final long initialTimeoutNanos;
    private double marginNanos;
    private int heartbeats;
    private int mistakes;
    private long suspectedNanos;
    private long detectionNanos;
    private long startedNanos;

    SelfTuningDetector(
            double stepNanos,
            long wantedDetectionNanos,
            double wantedMistakesPerHour,
            double wantedAccuracy,
            long initialTimeoutNanos) {
        this.stepNanos = stepNanos;
        this.marginNanos = wantedDetectionNanos - HeartbeatTrace.INTERVAL;
        this.wantedDetectionNanos = wantedDetectionNanos;
        this.wantedMistakesPerHour = wantedMistakesPerHour;
        this.wantedAccuracy = wantedAccuracy;
        this.initialTimeoutNanos = initialTimeoutNanos;
    }

    @Override
    public void heartbeat(long now, int sequence) {
        if (heartbeats == 0) {
            startedNanos = now;
        } else if (now >= suspectsFromNanos()) {
            mistakes++;
            suspectedNanos += now - suspectsFromNanos();
        }
        window.add(now, sequence);
        heartbeats++;
        detectionNanos += suspectsFromNanos() - now;
        if (heartbeats % SLOT == 0) {
            tune(now);
        }
    }

    /**
     * Compares the quality reached since the start with the wanted one: equations 11 to 13 and algorithm 1 of the
     * paper.
     */
    private void tune(long now) {
        double hours = (now - startedNanos) / 3.6e12;
        boolean fast = (double) detectionNanos / heartbeats < wantedDetectionNanos;
        boolean accurate = mistakes / hours < wantedMistakesPerHour
                && 1 - (double) suspectedNanos / (now - startedNanos) > wantedAccuracy;
        if (fast && !accurate) {
            marginNanos += stepNanos;
        } else if (!fast && accurate) {
            marginNanos = Math.max(stepNanos, marginNanos - stepNanos);
        }
    }

    @Override
    public long suspectsFromNanos() {
        if (window.size() < WARM_UP) {
            return window.size() == 0 ? Long.MAX_VALUE : window.last() + initialTimeoutNanos;
        }
        return (long) (window.expectedNext() + marginNanos);
    }
}
