package org.carawaysill.policy.fleet.allowance;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.carawaysill.model.fleet.Allowance;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.policy.message.OrganisationUse;
import org.carawaysill.policy.time.SlidingCount;

/** A method by which one node keeps to an allowance of the whole fleet, to be compared with others. Not thread safe. */
sealed interface AllowanceMethod {

    /** Decides about a request, and counts it if it is admitted. */
    boolean admit(long now);

    /** Returns what the node reports of itself. */
    int report(long now);

    /** Takes in the sum of what some nodes reported. */
    void receive(long now, int sum, int ofNodes);

    /** The method of the policy: sums of what the nodes recently reported. */
    final class FleetSums implements AllowanceMethod {

        private final FleetAllowances allowances;
        private final Organisation organisation;

        FleetSums(long now, AllowanceBounds bounds, Organisation organisation, int nodes, SplittableRandom random) {
            allowances = new FleetAllowances(now, bounds, random);
            allowances.nodes(nodes);
            this.organisation = organisation;
        }

        @Override
        public boolean admit(long now) {
            boolean admitted = allowances.refusal(now, organisation).isEmpty();
            if (admitted) {
                allowances.take(now, organisation.name());
            }
            return admitted;
        }

        @Override
        public int report(long now) {
            return allowances.own(now).stream()
                    .mapToInt(OrganisationUse::admitted)
                    .sum();
        }

        @Override
        public void receive(long now, int sum, int ofNodes) {
            allowances.receiveUse(now, List.of(new OrganisationUse(organisation.name(), sum)), ofNodes);
        }
    }

    /** A token bucket with a node's part of the allowance. */
    final class SharedBucket {

        private final double perNano;
        private final double burst;
        private double share;
        private double tokens;
        private long refilledNanos;

        SharedBucket(long now, AllowanceBounds bounds, Allowance allowance, double share) {
            perNano = allowance.perSecond()
                    * (1 + bounds.overshoot())
                    / Duration.ofSeconds(1).toNanos();
            burst = allowance.burst() * (1 + bounds.overshoot()) + bounds.slack();
            this.share = share;
            tokens = most();
            refilledNanos = now;
        }

        private double most() {
            return Math.max(1, burst * share);
        }

        void share(double newShare) {
            share = newShare;
        }

        boolean take(long now) {
            tokens = Math.min(most(), tokens + (now - refilledNanos) * perNano * share);
            refilledNanos = now;
            boolean taken = tokens >= 1;
            tokens -= taken ? 1 : 0;
            return taken;
        }
    }

    /** The baseline: the same part of the allowance for each node. */
    final class EvenShare implements AllowanceMethod {

        private final SharedBucket bucket;

        EvenShare(long now, AllowanceBounds bounds, Allowance allowance, int nodes) {
            bucket = new SharedBucket(now, bounds, allowance, 1.0 / nodes);
        }

        @Override
        public boolean admit(long now) {
            return bucket.take(now);
        }

        @Override
        public int report(long now) {
            return 0;
        }

        @Override
        public void receive(long now, int sum, int ofNodes) {}
    }

    /** A part in proportion to the demand at each node, with a minimum for nodes without demand so far. */
    final class FollowingShare implements AllowanceMethod {

        /** The part of the allowance that is shared evenly. */
        private static final double EVEN_PART = 0.2;

        private static final int PARTS = 50;

        private final SlidingCount asked;
        private final SharedBucket bucket;
        private final int nodes;

        FollowingShare(long now, AllowanceBounds bounds, Allowance allowance, int nodes) {
            asked = new SlidingCount(now, bounds.window().toNanos() / PARTS, PARTS + 1);
            bucket = new SharedBucket(now, bounds, allowance, 1.0 / nodes);
            this.nodes = nodes;
        }

        @Override
        public boolean admit(long now) {
            asked.add(now);
            return bucket.take(now);
        }

        @Override
        public int report(long now) {
            return asked.sum(now);
        }

        @Override
        public void receive(long now, int sum, int ofNodes) {
            double following = sum > 0 ? Math.min(1.0, asked.sum(now) / (double) sum) : 1.0 / nodes;
            bucket.share(EVEN_PART / nodes + (1 - EVEN_PART) * following);
        }
    }
}
