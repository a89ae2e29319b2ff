package org.carawaysill.policy.detection;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Heartbeats of one hour on a fixed schedule, with the times at which they were sent and received. */
record HeartbeatTrace(List<Heartbeat> heartbeats) {

    static final long INTERVAL = 1_000_000_000L;
    private static final int COUNT = 3_600;
    private static final double MILLISECOND = 1e6;

    record Heartbeat(int sequence, long sent, long arrived) {}

    /** A disturbance of the heartbeats of a running node. */
    enum Trouble {
        CALM,
        SHORT_PAUSES,
        LONG_PAUSES,
        RETRANSMISSIONS,
        LOST_HEARTBEATS,
        BUSY_MACHINE
    }

    static HeartbeatTrace of(Trouble trouble, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Heartbeat> heartbeats = new ArrayList<>();
        long sent = 0;
        long arrived = 0;
        for (int i = 0; i < COUNT; i++) {
            sent = Math.max(sent, i * INTERVAL + (long) senderDelay(trouble, random));
            arrived = Math.max(arrived, sent + (long) networkDelay(trouble, random));
            if (trouble != Trouble.LOST_HEARTBEATS || random.nextDouble() >= 0.02) {
                heartbeats.add(new Heartbeat(i, sent, arrived));
            }
        }
        return new HeartbeatTrace(heartbeats);
    }

    /**
     * Returns the delay from pauses and late wake-ups of the sender. Heartbeats that became due meanwhile follow at
     * once.
     */
    private static double senderDelay(Trouble trouble, SplittableRandom random) {
        double late = exponential(random, 2 * MILLISECOND);
        return switch (trouble) {
            case SHORT_PAUSES -> random.nextDouble() < 0.02 ? late + exponential(random, 300 * MILLISECOND) : late;
            case LONG_PAUSES -> random.nextDouble() < 0.002 ? late + exponential(random, 2_000 * MILLISECOND) : late;
            case BUSY_MACHINE -> Math.min(10_000, 10 / Math.pow(1 - random.nextDouble(), 0.7)) * MILLISECOND;
            case CALM, RETRANSMISSIONS, LOST_HEARTBEATS -> late;
        };
    }

    /** Returns the network delay. TCP retransmits a lost segment after 200 ms and doubles the timeout each time. */
    private static double networkDelay(Trouble trouble, SplittableRandom random) {
        double delay = 1.5 * MILLISECOND + exponential(random, MILLISECOND);
        double timeout = 200 * MILLISECOND;
        while (trouble == Trouble.RETRANSMISSIONS && random.nextDouble() < 0.05) {
            delay += timeout;
            timeout *= 2;
        }
        return delay;
    }

    private static double exponential(SplittableRandom random, double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }
}
