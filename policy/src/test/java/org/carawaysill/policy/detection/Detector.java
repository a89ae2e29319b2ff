package org.carawaysill.policy.detection;

import java.time.Duration;

/** A failure detector under comparison. Heartbeats carry a sequence number, which only some detectors use. */
interface Detector {

    void heartbeat(long now, int sequence);

    long suspectsFromNanos();

    /** Creates the detector that the nodes use; it ignores the sequence number. */
    static Detector fixed(Duration timeout) {
        FixedTimeoutDetector detector = new FixedTimeoutDetector(timeout);
        return new Detector() {
            @Override
            public void heartbeat(long now, int sequence) {
                detector.heartbeat(now);
            }

            @Override
            public long suspectsFromNanos() {
                return detector.suspectsFromNanos();
            }
        };
    }
}
