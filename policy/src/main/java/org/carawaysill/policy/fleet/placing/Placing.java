package org.carawaysill.policy.fleet.placing;

/** How the copy for a request is chosen. Immutable and thread safe. */
public sealed interface Placing {

    /** By requests for a slot, with preferences for near and fast copies while slots are idle. */
    record LeastLoad() implements Placing {

        /** The only one. */
        public static final LeastLoad INSTANCE = new LeastLoad();
    }

    /**
     * By the expected time until the answer is here.
     *
     * <p>Times are in seconds. A copy at which the request misses its aim comes after all at which it does not, and one
     * at which it misses its deadline last.
     *
     * @param usualSeconds the usual slot time of the route at a copy of usual speed
     * @param urgency what a second is worth to those who wait, as a multiple of what it is worth to this request
     * @param crossingSeconds the time that the request may rather wait than be sent to another availability zone
     * @param failureSeconds what a failed try costs
     * @param aimLeft the time left until the aim of the request; infinite if it has none
     * @param deadlineLeft the time left until its deadline
     */
    record EarliestCompletion(
            double usualSeconds,
            double urgency,
            double crossingSeconds,
            double failureSeconds,
            double aimLeft,
            double deadlineLeft)
            implements Placing {

        /** More than any time that is estimated: puts copies that are late behind all others. */
        private static final double LATE = 1e9;

        /**
         * The weight of a second of waiting. Guards against queues beside idle slots of slower copies: requests of a higher
         * rank go first, so that those of the last rank wait for longer than the mean, and miss their deadlines.
         */
        private static final double WAIT_WEIGHT = 2;

        /** Spreads the costs of equal copies, as a part of the usual time. */
        private static final double JITTER = 0.02;

        /**
         * Returns the cost of sending the request to a copy.
         *
         * @param copy the estimate of the copy
         * @param requests the requests that are known to be there
         * @param paceLoad the part of the copy's own limit of requests per second that is asked for
         * @param slowdown by how much slower the copy works for being cold; 1 if it is not
         * @param failures the part of tries that fail there beyond those at the best copy
         * @param draw a random number from 0 to 1
         * @return the cost, finite; less is better
         */
        public double cost(
                CopyEstimate copy, double requests, double paceLoad, double slowdown, double failures, double draw) {
            double waiting = copy.waiting(requests);
            double work = usualSeconds * copy.slowness() * slowdown;
            double wait = copy.waitSeconds(waiting, paceLoad) * slowdown;
            double delayOfOthers = work * waiting / copy.limit();
            double time = wait + work + copy.waySeconds();
            double cost = time
                    + (WAIT_WEIGHT - 1) * wait
                    + WAIT_WEIGHT * urgency * delayOfOthers
                    + (copy.isInOtherZone() ? crossingSeconds : 0)
                    + failures * failureSeconds
                    + draw * JITTER * usualSeconds;
            if (time > deadlineLeft) {
                return cost + 2 * LATE;
            }
            return time > aimLeft ? cost + LATE : cost;
        }

        /**
         * Returns which of its times the request misses at a copy.
         *
         * @param cost its cost there
         * @return 0 for none, 1 for its aim, 2 for its deadline
         */
        public int lateness(double cost) {
            return (int) Math.min(2, cost / LATE);
        }
    }
}
