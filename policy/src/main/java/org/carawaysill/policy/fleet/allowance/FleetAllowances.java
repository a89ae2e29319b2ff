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
 * Decides whether an organisation may send another request, by what all nodes together admitted lately.
 *
 * <p>Nodes tell one another in their summaries how much each organisation used within the last window. What was admitted since
 * is estimated: as much as before, and more where this node itself is asked for more than before. So a request is refused only where
 * the fleet's use is close to the allowance, however its callers spread over the nodes. Nodes that hear from a part of the fleet
 * only use that part of each allowance, and a node on its own its even share, so that two sides of a partition keep the
 * allowance together.
 *
 * <p>Invariant: nothing is admitted beyond what is believed to be left. Not thread safe: owned by the policy.
 */
public final class FleetAllowances {

    /** A node's use is known everywhere after three report intervals at the latest. */
    static final Duration KNOWN_AFTER = Duration.ofMillis(1200);

    /** After so long without a summary a node is on its own. */
    static final Duration ALONE_AFTER = Duration.ofMillis(1600);

    /** The part of the tolerated overshoot that is planned for; the rest covers sudden rises that are not known yet. */
    private static final double PLANNED_OVERSHOOT = 0.2;

    /** In a fleet of more nodes each sees too little of a rise, so that less of the overshoot may be planned for. */
    private static final double NODES_THAT_SEE_A_RISE = 100;

    /** Requests by which a node expects to scatter: a rise shows by what it sees beyond these. */
    private static final double SCATTER = 2;

    /** The part of its rate that an organisation is expected to ask for, of which nothing is known. */
    private static final double LEAST_EXPECTED = 0.5;

    /** The part of the nodes that must be heard of for a fleet that is not cut in two; a few may be starting. */
    private static final double WHOLE_FLEET = 0.95;

    /** Parts of a window. */
    private static final int PARTS = 50;

    /** Bounds the memory where another node tells of organisations without end. */
    private static final int MAX_ORGANISATIONS = 20_000;

    private static final Duration SHORTEST_WAIT = Duration.ofMillis(200);

    private final RandomGenerator random;
    private final long startNanos;
    private final Map<OrganisationName, Use> uses = new HashMap<>();
    private AllowanceBounds bounds;
    private long toldNanos;
    private int toldNodes = 1;
    private int nodes = 1;

    /** What is known of one organisation's use. */
    private static final class Use {

        private final SlidingCount own;
        private final SlidingCount asked;
        private final double roundingDraw;
        private final ToldHistory told = new ToldHistory();
        private double peak;
        private long peakNanos;

        Use(SlidingCount own, SlidingCount asked, double roundingDraw) {
            this.own = own;
            this.asked = asked;
            this.roundingDraw = roundingDraw;
        }
    }

    /**
     * Starts without knowledge of what was admitted before: by this node in an earlier life, and by others.
     *
     * @param now the monotonic time
     * @param bounds how far windows may exceed an allowance
     * @param random the source of jitter
     */
    public FleetAllowances(long now, AllowanceBounds bounds, RandomGenerator random) {
        this.bounds = bounds;
        this.random = random;
        startNanos = now;
        toldNanos = now;
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
     * Receives what several nodes together admitted lately.
     *
     * @param now the monotonic time
     * @param sums their use of each organisation's allowance within the last window
     * @param ofNodes how many nodes these are, this one included
     */
    public void told(long now, List<OrganisationUse> sums, int ofNodes) {
        toldNanos = now;
        toldNodes = Math.max(1, ofNodes);
        for (OrganisationUse sum : sums) {
            if (uses.size() >= MAX_ORGANISATIONS && !uses.containsKey(sum.organisation())) {
                continue;
            }
            Use use = use(now, sum.organisation());
            use.told.add(now, sum.admitted());
            if (sum.admitted() >= remembered(now, use)) {
                use.peak = sum.admitted();
                use.peakNanos = now;
            }
        }
    }

    private Use use(long now, OrganisationName name) {
        return uses.computeIfAbsent(name, _ -> new Use(count(now), count(now), random.nextDouble()));
    }

    /** One part more than a window has: a part counts until the whole window has passed since its end. */
    private SlidingCount count(long now) {
        return new SlidingCount(now, bounds.window().toNanos() / PARTS, PARTS + 1);
    }

    /**
     * Returns what the fleet used as far as it was told, and has not left the window since.
     *
     * <p>Guards against nodes that start anew and no longer tell what they admitted before: a sum that falls is believed no
     * faster than its requests can leave the window.
     */
    private double remembered(long now, Use use) {
        return use.peak
                * Math.max(
                        0, 1 - (now - use.peakNanos) / (double) bounds.window().toNanos());
    }

    /**
     * Decides about a request, without counting it.
     *
     * @param now the monotonic time
     * @param organisation whose request it is
     * @return when to come back; empty where the request is within the allowance
     */
    public Optional<Duration> refusal(long now, Organisation organisation) {
        if (organisation.allowance().isEmpty()) {
            return Optional.empty();
        }
        Allowance allowance = organisation.allowance().get();
        Use use = use(now, organisation.name());
        use.asked.add(now);
        boolean alone = nodes > 1 && (toldNodes == 1 || now - toldNanos > ALONE_AFTER.toNanos());
        double excess = alone ? excessAlone(now, allowance, use) : excessInFleet(now, allowance, use);
        return excess > 0 ? Optional.of(wait(excess, allowance, alone)) : Optional.empty();
    }

    private double planned(Allowance allowance) {
        double allowed = bounds.allowed(allowance);
        double planned = PLANNED_OVERSHOOT * Math.min(1, NODES_THAT_SEE_A_RISE / nodes);
        return allowed + planned * (bounds.most(allowance) - allowed);
    }

    /** Of a share that is no whole number, some nodes get one request more, drawn for each organisation. */
    private double excessAlone(long now, Allowance allowance, Use use) {
        double share = bounds.allowed(allowance) * lived(now) / nodes;
        double whole = Math.floor(share) + (use.roundingDraw < share - Math.floor(share) ? 1 : 0);
        return use.own.sum(now) + 1 - whole;
    }

    private double excessInFleet(long now, Allowance allowance, Use use) {
        if (nodes == 1) {
            return use.own.sum(now) + beforeStart(now, allowance) + 1 - planned(allowance);
        }
        int heard = toldNodes;
        double part = Math.min(1, heard / (double) nodes);
        // The overshoot is left to the other side of a partition, which is not known to have noticed it.
        double room = part < WHOLE_FLEET ? bounds.allowed(allowance) * part : planned(allowance) * part;
        double known = Math.max(remembered(now, use), beforeStart(now, allowance));
        if (part >= WHOLE_FLEET && known <= bounds.allowed(allowance) && isWithinEvenRate(now, allowance, use, heard)) {
            return 0;
        }
        double fleet = known + since(now, allowance, use, known, heard) - leaving(now, use, known);
        return Math.max(fleet, use.own.sum(now)) + 1 - room;
    }

    /**
     * Returns whether this node admits no more than its even part of the rate. Guards against a large organisation that goes on
     * asking for a multiple of its allowance and gets half of it, since each of its repeats looks like a further rise.
     */
    private boolean isWithinEvenRate(long now, Allowance allowance, Use use, int heard) {
        long unknownNanos = unknownNanos(now);
        double even = allowance.perSecond() * unknownNanos / Nanos.PER_SECOND / heard;
        return use.own.since(now, now - unknownNanos) + 1 <= even;
    }

    /** A node that has just started takes the allowance for used up, so that an earlier life and this one keep it together. */
    private double beforeStart(long now, Allowance allowance) {
        return bounds.allowed(allowance) * (1 - lived(now));
    }

    /** Returns for which part of a window this node has lived, 0 to 1. */
    private double lived(long now) {
        return Math.min(1, (now - startNanos) / (double) bounds.window().toNanos());
    }

    /** Returns for how long requests may have been admitted that this node was not told of. */
    private long unknownNanos(long now) {
        return now - toldNanos + KNOWN_AFTER.toNanos();
    }

    /**
     * Estimates what the nodes that were heard of admitted since what they told: as much as before, or in proportion to what
     * this node is asked for, as far as that differs from its usual share by more than chance.
     */
    private double since(long now, Allowance allowance, Use use, double known, int heard) {
        long unknownNanos = unknownNanos(now);
        double least = LEAST_EXPECTED * allowance.perSecond() * unknownNanos / Nanos.PER_SECOND;
        double usual = Math.max(least, known * unknownNanos / bounds.window().toNanos());
        double own = use.own.since(now, now - unknownNanos);
        double asked = use.asked.since(now, now - unknownNanos);
        double share = (use.own.sum(now) - own + 1) / (known + heard);
        double rise = (asked + SCATTER) / (usual * Math.max(share, 1.0 / heard) + SCATTER);
        return Math.max(own, usual * rise);
    }

    /**
     * Estimates what of the known use has left the window since it was told: it was admitted at the rate of the window before
     * that, as far as that is known, and at no higher one than now.
     */
    private double leaving(long now, Use use, double known) {
        long windowNanos = bounds.window().toNanos();
        long unknownNanos = unknownNanos(now);
        double before = Math.min(known, use.told.at(now - windowNanos + KNOWN_AFTER.toNanos()));
        return before * Math.min(1, unknownNanos / (double) windowNanos);
    }

    private Duration wait(double excess, Allowance allowance, boolean alone) {
        double perSecond = alone ? allowance.perSecond() / nodes : allowance.perSecond();
        double seconds = Math.min(excess / perSecond, bounds.window().toNanos() / Nanos.PER_SECOND);
        double spread = (1 + random.nextDouble()) * Math.max(seconds, SHORTEST_WAIT.toNanos() / Nanos.PER_SECOND);
        return Duration.ofNanos((long) (spread * Nanos.PER_SECOND));
    }

    /**
     * Counts a request as admitted.
     *
     * @param now the monotonic time
     * @param organisation whose request it is
     */
    public void take(long now, OrganisationName organisation) {
        use(now, organisation).own.add(now);
    }

    /**
     * Takes a request back that was counted and that no copy ran.
     *
     * @param now the monotonic time
     * @param organisation whose request it was
     * @param takenNanos when it was counted
     */
    public void giveBack(long now, OrganisationName organisation, long takenNanos) {
        use(now, organisation).own.takeBack(now, takenNanos);
    }

    /**
     * Returns what this node admitted within the last window, and forgets organisations of which nothing is left.
     *
     * @param now the monotonic time
     * @return the use of each organisation
     */
    public List<OrganisationUse> own(long now) {
        uses.values().removeIf(use -> use.own.sum(now) == 0 && remembered(now, use) == 0);
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
