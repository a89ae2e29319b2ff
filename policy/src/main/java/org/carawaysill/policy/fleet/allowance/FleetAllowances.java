package org.carawaysill.policy.fleet.allowance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carawaysill.model.fleet.Allowance;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.policy.message.OrganisationUse;
import org.carawaysill.policy.time.Nanos;
import org.carawaysill.policy.time.SlidingCount;

/**
 * Decides whether an organisation may send another request, by what all nodes together recently admitted.
 *
 * <p>Nodes exchange in their summaries how much each organisation used within the last window. What was admitted since
 * then is estimated: as much as before, or more if the demand at this node has risen. So a request is refused only if
 * the use of the whole fleet is close to the allowance, however the organisation's callers spread over the nodes. Nodes
 * that receive summaries from only a part of the fleet use only that part of each allowance, and an isolated node its
 * even share, so that two sides of a partition together keep to the allowance.
 *
 * <p>Invariant: nothing is admitted beyond the estimated remainder. Not thread safe: owned by the policy.
 */
public final class FleetAllowances {

    /** The time after which a node's use is known everywhere: three report intervals at the latest. */
    static final Duration REPORT_DELAY = Duration.ofMillis(1200);

    /** The time without a summary after which a node counts as isolated. */
    static final Duration ISOLATED_AFTER = Duration.ofMillis(1600);

    /** The part of the tolerated overshoot that is planned for; the rest covers sudden rises that are not known yet. */
    private static final double PLANNED_OVERSHOOT = 0.2;

    /** In a fleet of more nodes than this, each sees too little of a rise, so less of the overshoot is planned for. */
    private static final double NODES_DETECTING_RISE = 100;

    /** The expected random deviation of a node's requests: only what exceeds it counts as a rise. */
    private static final double SCATTER = 2;

    /** The minimum demand that is expected of an organisation whose use is unknown, as a part of its rate. */
    private static final double MINIMUM_EXPECTED_PART = 0.5;

    /**
     * The part of the nodes that must be included in the sums for the fleet to count as whole; a few may be starting.
     */
    private static final double WHOLE_FLEET = 0.95;

    /** The number of parts of a window. */
    private static final int PARTS = 50;

    /** Bounds the memory where another node reports an unlimited number of organisations. */
    private static final int MAX_ORGANISATIONS = 20_000;

    private static final Duration SHORTEST_WAIT = Duration.ofMillis(200);

    private final RandomGenerator random;
    private final long startNanos;
    private final Map<OrganisationName, Use> uses = new HashMap<>();
    private AllowanceBounds bounds;
    private long reportedNanos;
    private int reportingNodes = 1;
    private int nodes = 1;

    /** The known use of one organisation's allowance. */
    private static final class Use {

        private final SlidingCount own;
        private final SlidingCount asked;
        private final double roundingDraw;
        private final ReportedUseHistory reportedUse = new ReportedUseHistory();
        private double peak;
        private long peakNanos;

        Use(SlidingCount own, SlidingCount asked, double roundingDraw) {
            this.own = own;
            this.asked = asked;
            this.roundingDraw = roundingDraw;
        }
    }

    /**
     * Starts without knowledge of what was admitted before by other nodes, or by an earlier process of this node.
     *
     * @param now the monotonic time
     * @param bounds how far windows may exceed an allowance
     * @param random the source of jitter
     */
    public FleetAllowances(long now, AllowanceBounds bounds, RandomGenerator random) {
        this.bounds = bounds;
        this.random = random;
        startNanos = now;
        reportedNanos = now;
    }

    /**
     * Changes the bounds.
     *
     * @param newer the bounds
     */
    public void bounds(AllowanceBounds newer) {
        if (!newer.window().equals(bounds.window())) {
            uses.clear();
        }
        bounds = newer;
    }

    /**
     * Sets how many nodes share the allowances.
     *
     * @param count the published nodes, this one included
     */
    public void nodes(int count) {
        nodes = Math.max(1, count);
    }

    /**
     * Takes in what several nodes together recently admitted.
     *
     * @param now the monotonic time
     * @param sums their use of each organisation's allowance within the last window
     * @param ofNodes the number of these nodes, including this one
     */
    public void receiveUse(long now, List<OrganisationUse> sums, int ofNodes) {
        reportedNanos = now;
        reportingNodes = Math.max(1, ofNodes);
        for (OrganisationUse sum : sums) {
            if (uses.size() >= MAX_ORGANISATIONS && !uses.containsKey(sum.organisation())) {
                continue;
            }
            Use use = use(now, sum.organisation());
            use.reportedUse.add(now, sum.admitted());
            if (sum.admitted() >= retainedUse(now, use)) {
                use.peak = sum.admitted();
                use.peakNanos = now;
            }
        }
    }

    private Use use(long now, OrganisationName name) {
        return uses.computeIfAbsent(name, _ -> new Use(count(now), count(now), random.nextDouble()));
    }

    /**
     * Creates a count with one part more than a window has: a part counts until a whole window has passed since its
     * end.
     */
    private SlidingCount count(long now) {
        return new SlidingCount(now, bounds.window().toNanos() / PARTS, PARTS + 1);
    }

    /**
     * Returns the reported use of the fleet that has not left the window since.
     *
     * <p>Guards against restarted nodes, which no longer report what they admitted before: a falling sum is followed no
     * faster than its requests can leave the window.
     */
    private double retainedUse(long now, Use use) {
        return use.peak
                * Math.max(
                        0, 1 - (now - use.peakNanos) / (double) bounds.window().toNanos());
    }

    /**
     * Decides about a request, without counting it.
     *
     * @param now the monotonic time
     * @param organisation the organisation that sends it
     * @return when to retry; empty if the request is within the allowance
     */
    public Optional<Duration> refusal(long now, Organisation organisation) {
        if (organisation.allowance().isEmpty()) {
            return Optional.empty();
        }
        Allowance allowance = organisation.allowance().get();
        Use use = use(now, organisation.name());
        use.asked.add(now);
        boolean isolated = nodes > 1 && (reportingNodes == 1 || now - reportedNanos > ISOLATED_AFTER.toNanos());
        double excess = isolated ? excessWhenIsolated(now, allowance, use) : excessInFleet(now, allowance, use);
        return excess > 0 ? Optional.of(wait(excess, allowance, isolated)) : Optional.empty();
    }

    private double planned(Allowance allowance) {
        double allowed = bounds.allowed(allowance);
        double planned = PLANNED_OVERSHOOT * Math.min(1, NODES_DETECTING_RISE / nodes);
        return allowed + planned * (bounds.maximum(allowance) - allowed);
    }

    /**
     * Returns the excess over this node's even share. A fractional share is rounded at random, drawn once for each
     * organisation.
     */
    private double excessWhenIsolated(long now, Allowance allowance, Use use) {
        double share = bounds.allowed(allowance) * elapsedPart(now) / nodes;
        double whole = Math.floor(share) + (use.roundingDraw < share - Math.floor(share) ? 1 : 0);
        return use.own.sum(now) + 1 - whole;
    }

    private double excessInFleet(long now, Allowance allowance, Use use) {
        if (nodes == 1) {
            return use.own.sum(now) + beforeStart(now, allowance) + 1 - planned(allowance);
        }
        int reporting = reportingNodes;
        double part = Math.min(1, reporting / (double) nodes);
        // The overshoot is left to the other side of a partition, which may not have noticed it.
        double room = part < WHOLE_FLEET ? bounds.allowed(allowance) * part : planned(allowance) * part;
        double known = Math.max(retainedUse(now, use), beforeStart(now, allowance));
        if (part >= WHOLE_FLEET
                && known <= bounds.allowed(allowance)
                && isWithinEvenRate(now, allowance, use, reporting)) {
            return 0;
        }
        double fleet = known + since(now, allowance, use, known, reporting) - leaving(now, use, known);
        return Math.max(fleet, use.own.sum(now)) + 1 - room;
    }

    /**
     * Returns whether this node admits no more than its even part of the rate. Guards against refusing half of the
     * allowance of a large organisation that keeps sending a multiple of it, since each of its retries looks like a
     * further rise.
     */
    private boolean isWithinEvenRate(long now, Allowance allowance, Use use, int reporting) {
        long unreportedNanos = unreportedNanos(now);
        double even = allowance.perSecond() * unreportedNanos / Nanos.PER_SECOND / reporting;
        return use.own.countSince(now, now - unreportedNanos) + 1 <= even;
    }

    /**
     * Returns what counts as used before this node's start: it assumes a fully used allowance, so that an earlier
     * process and this one together keep to it.
     */
    private double beforeStart(long now, Allowance allowance) {
        return bounds.allowed(allowance) * (1 - elapsedPart(now));
    }

    /** Returns the part of a window that has passed since this node's start, 0 to 1. */
    private double elapsedPart(long now) {
        return Math.min(1, (now - startNanos) / (double) bounds.window().toNanos());
    }

    /** Returns the length of the period whose admitted requests have not been reported to this node. */
    private long unreportedNanos(long now) {
        return now - reportedNanos + REPORT_DELAY.toNanos();
    }

    /**
     * Estimates what the reporting nodes admitted since their reports: as much as before, or in proportion to the
     * demand at this node, as far as that differs from its usual share by more than chance.
     */
    private double since(long now, Allowance allowance, Use use, double known, int reporting) {
        long unreportedNanos = unreportedNanos(now);
        double least = MINIMUM_EXPECTED_PART * allowance.perSecond() * unreportedNanos / Nanos.PER_SECOND;
        double usual = Math.max(least, known * unreportedNanos / bounds.window().toNanos());
        double own = use.own.countSince(now, now - unreportedNanos);
        double asked = use.asked.countSince(now, now - unreportedNanos);
        double share = (use.own.sum(now) - own + 1) / (known + reporting);
        double rise = (asked + SCATTER) / (usual * Math.max(share, 1.0 / reporting) + SCATTER);
        return Math.max(own, usual * rise);
    }

    /**
     * Estimates how much of the known use has left the window since it was reported: it was admitted at the rate of the
     * window before that, as far as that is known, and at no higher rate than now.
     */
    private double leaving(long now, Use use, double known) {
        long windowNanos = bounds.window().toNanos();
        long unreportedNanos = unreportedNanos(now);
        double before = Math.min(known, use.reportedUse.at(now - windowNanos + REPORT_DELAY.toNanos()));
        return before * Math.min(1, unreportedNanos / (double) windowNanos);
    }

    private Duration wait(double excess, Allowance allowance, boolean isolated) {
        double perSecond = isolated ? allowance.perSecond() / nodes : allowance.perSecond();
        double seconds = Math.min(excess / perSecond, bounds.window().toNanos() / Nanos.PER_SECOND);
        double spread = (1 + random.nextDouble()) * Math.max(seconds, SHORTEST_WAIT.toNanos() / Nanos.PER_SECOND);
        return Duration.ofNanos((long) (spread * Nanos.PER_SECOND));
    }

    /**
     * Counts a request as admitted.
     *
     * @param now the monotonic time
     * @param organisation the organisation that sent it
     */
    public void take(long now, OrganisationName organisation) {
        use(now, organisation).own.add(now);
    }

    /**
     * Uncounts a request that was counted but that no copy ran.
     *
     * @param now the monotonic time
     * @param organisation the organisation that sent it
     * @param takenNanos when it was counted
     */
    public void giveBack(long now, OrganisationName organisation, long takenNanos) {
        use(now, organisation).own.remove(now, takenNanos);
    }

    /**
     * Returns what this node admitted within the last window, and removes organisations without remaining use.
     *
     * @param now the monotonic time
     * @return the use of each organisation
     */
    public List<OrganisationUse> own(long now) {
        uses.values().removeIf(use -> use.own.sum(now) == 0 && retainedUse(now, use) == 0);
        List<OrganisationUse> own = new ArrayList<>();
        uses.forEach((name, use) -> {
            int admitted = use.own.sum(now);
            if (admitted > 0) {
                own.add(new OrganisationUse(name, admitted));
            }
        });
        return own;
    }
}
