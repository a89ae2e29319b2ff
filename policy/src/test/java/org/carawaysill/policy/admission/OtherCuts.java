package org.carawaysill.policy.admission;

import org.carawaysill.model.request.Priority;

/** Ways to set the admission cut that were weighed against {@link ForecastCut}. */
final class OtherCuts {

    private OtherCuts() {}

    private static double excess(AdmissionCut.Pressure pressure) {
        return pressure.queue().size() / pressure.queueTarget() - 1;
    }

    private abstract static class Base implements AdmissionCut {
        int level;

        @Override
        public void arrived(int at) {}

        @Override
        public int lowestWaiting() {
            return level;
        }

        @Override
        public int level() {
            return level;
        }
    }

    /** Keeps all levels open: refusals happen only at the copy itself. */
    static final class NoCut extends Base {
        @Override
        public void update(long elapsedNanos, Pressure pressure) {}
    }

    /** DAGOR (Zhou et al. 2018): admits 5% less while the queue is slow, else 1% more, by a histogram of arrivals. */
    static final class StepCut extends Base {
        private static final double DOWN = 0.95;
        private static final double UP = 1.01;
        private final double[] histogram = new double[Priority.MAXIMUM + 1];
        private final double[] last = new double[Priority.MAXIMUM + 1];

        @Override
        public void arrived(int at) {
            histogram[at]++;
        }

        @Override
        public void update(long elapsedNanos, Pressure pressure) {
            double admitted = 0;
            for (int at = 0; at < histogram.length; at++) {
                last[at] = at >= level ? histogram[at] : last[at];
                admitted += at >= level ? histogram[at] : 0;
                histogram[at] = 0;
            }
            double goal = admitted * (excess(pressure) > 0 ? DOWN : UP);
            if (excess(pressure) > 0) {
                while (level < Priority.MAXIMUM && admitted > goal) {
                    admitted -= last[level++];
                }
            } else {
                while (level > 0 && admitted <= goal) {
                    admitted += last[--level];
                }
            }
        }
    }

    /** Rajomon (Xing et al. 2025) in its simplest form: a price that follows the queue's delay. */
    static final class PriceCut extends Base {
        private static final double GAIN = 20;
        private double price;

        @Override
        public void update(long elapsedNanos, Pressure pressure) {
            price += GAIN * excess(pressure);
            price = Math.clamp(price, 0, Priority.MAXIMUM);
            level = (int) price;
        }
    }

    /** Computes the level from the arrivals of the last 200 ms and the service rate alone. */
    static final class DirectCut extends Base {
        private static final double HORIZON_NANOS = 200e6;
        private static final double MEMORY_NANOS = 1e9;
        private final double[] arrivals = new double[Priority.MAXIMUM + 1];
        private final double[] expected = new double[Priority.MAXIMUM + 1];

        @Override
        public void arrived(int at) {
            arrivals[at]++;
        }

        @Override
        public void update(long elapsedNanos, Pressure pressure) {
            double kept = Math.exp(-elapsedNanos / HORIZON_NANOS);
            double remembered = Math.exp(-elapsedNanos / MEMORY_NANOS);
            double room = pressure.answersPerSecond() * HORIZON_NANOS / 1e9 + pressure.queueTarget();
            int lowest = Priority.MAXIMUM + 1;
            for (int at = Priority.MAXIMUM; at >= 0; at--) {
                expected[at] = expected[at] * (at >= level ? kept : remembered) + arrivals[at];
                arrivals[at] = 0;
                room -= expected[at] + pressure.queue().countAt(at);
                lowest = room >= 0 && lowest == at + 1 ? at : lowest;
            }
            level = lowest;
        }
    }

    /** A rate at each entry node in place of cuts, as TopFull (Park et al. 2024) and Breakwater have it, without credits. */
    static final class EntryRate {
        private static final long PERIOD_NANOS = 100_000_000L;
        private static final double DOWN = 0.9;
        private static final double UP = 1.05;
        private static final double LOWEST = 5;
        private static final double BURST_SECONDS = 0.1;
        private double perSecond = 10_000;
        private double tokens;
        private long lastNanos;
        private long periodNanos;
        private int admitted;
        private boolean refusedBelow;

        boolean refuses(long now, Priority priority) {
            adjust(now);
            double burst = Math.max(2, perSecond * BURST_SECONDS);
            tokens = Math.min(burst, tokens + (now - lastNanos) / 1e9 * perSecond);
            lastNanos = now;
            boolean important = priority.level() >= 2 * Priority.LEVELS_PER_IMPORTANCE;
            boolean refused = tokens < (important ? 1 : 1 + burst / 2);
            tokens -= refused ? 0 : 1;
            admitted += refused ? 0 : 1;
            return refused;
        }

        void answered(boolean refused) {
            refusedBelow |= refused;
        }

        private void adjust(long now) {
            if (now - periodNanos < PERIOD_NANOS) {
                return;
            }
            double measured = admitted * 1e9 / (now - periodNanos);
            perSecond = refusedBelow ? Math.max(LOWEST, Math.min(perSecond, measured) * DOWN) : perSecond * UP;
            perSecond = Math.min(perSecond, 10_000);
            refusedBelow = false;
            admitted = 0;
            periodNanos = now;
        }
    }
}
