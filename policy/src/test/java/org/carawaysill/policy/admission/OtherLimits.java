package org.carawaysill.policy.admission;

/** Ways to set the concurrency limit that were weighed against {@link LearnedLimit}. */
final class OtherLimits {

    private OtherLimits() {}

    private abstract static class Base implements ConcurrencyLimit {
        int slots;
        double limit;
        double slowMean;
        double fastMean;

        @Override
        public void slots(int published) {
            slots = published;
            limit = published;
        }

        @Override
        public int limit() {
            return (int) Math.clamp(limit, 1, slots);
        }

        void mean(Sample sample) {
            slowMean += slowMean == 0 ? sample.ownNanos() : (sample.ownNanos() - slowMean) / 2000;
            fastMean += fastMean == 0 ? sample.ownNanos() : (sample.ownNanos() - fastMean) / 20;
        }
    }

    /** The published slots; the queue's delay alone decides what is refused. */
    static final class Fixed extends Base {
        @Override
        public void ended(long now, Sample sample) {}
    }

    /** One more for each round of quick answers, a tenth less for a failure or a slow answer. */
    static final class AdditiveIncrease extends Base {
        private long lastFallNanos;

        @Override
        public void ended(long now, Sample sample) {
            mean(sample);
            boolean bad = sample.result() == Result.FAILED || sample.ownNanos() > 3 * slowMean;
            if (bad && sample.startedNanos() >= lastFallNanos) {
                limit = Math.max(1, limit * 0.9);
                lastFallNanos = now;
            } else if (!bad && sample.inFlight() >= limit() / 2) {
                limit = Math.min(slots, limit + 1 / limit);
            }
        }
    }

    /** The gradient of long-term over short-term time, with room for a queue of the root of the limit. */
    static final class Gradient extends Base {
        private static final double TOLERANCE = 1.5;
        private static final double SMOOTHING = 0.02;

        @Override
        public void ended(long now, Sample sample) {
            if (sample.result() == Result.FAILED) {
                limit = Math.max(1, limit * 0.98);
                return;
            }
            mean(sample);
            slowMean = slowMean > 2 * fastMean ? slowMean * 0.95 : slowMean;
            double gradient = Math.clamp(TOLERANCE * slowMean / fastMean, 0.5, 1);
            double next = limit * gradient + Math.sqrt(limit);
            limit = Math.clamp(limit + SMOOTHING * (next - limit), 1, slots);
        }
    }
}
