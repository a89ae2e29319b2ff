package org.carawaysill.policy.detection;

import java.time.Duration;

/** What is compared: heartbeats carry a sequence, which some use. */
interface Detector {

    void heartbeat(long now, int sequence);

    long suspectsFromNanos();

    /** The one in use, which needs no sequence. */
    static Detector fixed(Duration timeout) {
        FixedTimeout detector = new FixedTimeout(timeout);
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
