package org.carawaysill.policy.fleet.allowance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.carawaysill.model.fleet.Allowance;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.policy.fleet.allowance.AllowanceTrial.Way;
import org.carawaysill.policy.message.OrganisationUse;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetAllowancesTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    /** The usual demand of organisations, as a part of their allowance. */
    private static final double USUAL_PART = 0.625;

    private static final int NODES = 58;
    private static final double[] RATES = {4, 12, 40, 190};

    private static AllowanceTrial trial(long seed, double rate) {
        return new AllowanceTrial(Way.FLEET_SUMS, seed, NODES, new Allowance(rate, rate));
    }

    private static Organisation organisation(double rate) {
        return new Organisation(new OrganisationName("agents"), Set.of(), 0, Optional.of(new Allowance(rate, rate)));
    }

    private static double anyOf(long seed) {
        return RATES[(int) Math.floorMod(seed, (long) RATES.length)];
    }

    /** No window of the fleet exceeds the bound, whatever the demand, the partitions and the restarts. */
    @Property(tries = 100, seed = "20261203")
    void keepTheBoundOfTheWholeFleet(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @DoubleRange(min = 1, max = 7.5) double rise,
            @ForAll @DoubleRange(min = 7, max = 14) double risesAt,
            @ForAll @DoubleRange(min = 0, max = 0.5) double cutShare,
            @ForAll @DoubleRange(min = 6, max = 16) double cutAt,
            @ForAll @DoubleRange(min = 0, max = 1) double killedShare,
            @ForAll @DoubleRange(min = 6, max = 16) double killedAt) {
        double rate = anyOf(seed);
        DoubleUnaryOperator asked = time -> USUAL_PART * rate * (time > risesAt ? rise : 1);
        double worst = trial(seed, rate)
                .cut(cutShare, cutAt, cutAt + 5)
                .kill(killedShare, killedAt, 2)
                .play(asked, 24)
                .worstOfBound();
        assertTrue(worst <= 1, () -> "rate " + rate + ": " + worst + " of the bound");
    }

    /**
     * An organisation that stays below its allowance has hardly any request refused, however its requests spread over
     * the nodes.
     */
    @Property(tries = 20, seed = "20261203")
    void refuseNextToNothingBelowTheAllowance(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        double rate = anyOf(seed);
        double refused = trial(seed, rate).play(_ -> USUAL_PART * rate, 20).refusedBelow();
        assertTrue(refused < 0.01, () -> "rate " + rate + ": " + refused + " refused");
    }

    /** Guards against refusing half of an organisation's allowance for as long as it sends a multiple of it. */
    @Test
    void leaveALargeOrganisationItsAllowanceWhileItAsksForMore() {
        double rate = 190;
        double refused = trial(1, rate)
                .play(time -> USUAL_PART * rate * (time > 8 ? 7.5 : 1), 30)
                .refusedBelow();
        assertTrue(refused < 0.1, () -> refused + " refused");
    }

    @Nested
    class OneNode {

        private final FleetAllowances allowances =
                new FleetAllowances(0, new AllowanceBounds(Duration.ofSeconds(5), 0, 0), new SplittableRandom(1));

        private int admitted(Organisation organisation, long from, int asked) {
            int admitted = 0;
            for (int i = 0; i < asked; i++) {
                if (allowances.refusal(from, organisation).isEmpty()) {
                    allowances.take(from, organisation.name());
                    admitted++;
                }
            }
            return admitted;
        }

        @Test
        void admitsTheAllowanceOfAWindow() {
            assertEquals(60, admitted(organisation(10), 10 * SECOND, 100));
            assertEquals(0, admitted(organisation(10), 14 * SECOND, 100));
            assertEquals(60, admitted(organisation(10), 16 * SECOND, 100));
        }

        @Test
        void givesBackWhatNoCopyRan() {
            Organisation agents = organisation(10);
            admitted(agents, 10 * SECOND, 60);
            allowances.giveBack(11 * SECOND, agents.name(), 10 * SECOND);
            assertEquals(1, admitted(agents, 11 * SECOND, 100));
        }

        @Test
        void saysWhenToComeBackWithinTheWindow() {
            admitted(organisation(10), 10 * SECOND, 60);
            Duration wait = allowances.refusal(10 * SECOND, organisation(10)).orElseThrow();
            assertTrue(wait.compareTo(Duration.ofMillis(100)) >= 0, wait::toString);
            assertTrue(wait.compareTo(Duration.ofSeconds(10)) <= 0, wait::toString);
        }

        @Test
        void doesNotLimitWhoHasNoAllowance() {
            Organisation free = new Organisation(new OrganisationName("free"), Set.of(), 0, Optional.empty());
            assertEquals(1000, admitted(free, 10 * SECOND, 1000));
        }

        /** Guards against forgetting requests that an earlier process of the node admitted and that still count. */
        @Test
        void admitsNoBurstJustAfterItsStart() {
            assertTrue(admitted(organisation(10), SECOND, 100) <= 12);
        }
    }

    @Nested
    class ManyNodes {

        private final FleetAllowances allowances =
                new FleetAllowances(0, AllowanceTrial.BOUNDS, new SplittableRandom(1));
        private final Organisation agents = organisation(100);

        private void reportUse(long now, int admitted, int ofNodes) {
            allowances.nodes(10);
            allowances.receiveUse(now, List.of(new OrganisationUse(agents.name(), admitted)), ofNodes);
        }

        @Test
        void refuseWhatOthersHaveUsedUp() {
            reportUse(10 * SECOND, 100, 10);
            assertTrue(allowances.refusal(10 * SECOND, agents).isEmpty());
            reportUse(11 * SECOND, 700, 10);
            assertTrue(allowances.refusal(11 * SECOND, agents).isPresent());
        }

        /** Guards against forgetting a use because the nodes that reported it were restarted. */
        @Test
        void rememberAUseThatIsToldNoMore() {
            reportUse(10 * SECOND, 900, 10);
            reportUse(11 * SECOND, 0, 10);
            assertTrue(allowances.refusal(11 * SECOND, agents).isPresent());
            reportUse(15 * SECOND, 0, 10);
            assertTrue(allowances.refusal(15 * SECOND, agents).isEmpty());
        }

        /** Guards against two sides of a partition that each use the whole allowance. */
        @Test
        void useTheirPartOnlyWhereTheyHearFromAPart() {
            reportUse(10 * SECOND, 300, 10);
            assertTrue(allowances.refusal(10 * SECOND, agents).isEmpty());
            reportUse(11 * SECOND, 300, 4);
            assertTrue(allowances.refusal(11 * SECOND, agents).isPresent());
        }

        @Test
        void haveAnEvenShareOnTheirOwn() {
            reportUse(10 * SECOND, 0, 10);
            int admitted = 0;
            while (allowances.refusal(20 * SECOND, agents).isEmpty()) {
                allowances.take(20 * SECOND, agents.name());
                admitted++;
            }
            assertTrue(admitted >= 60 && admitted <= 61, "admitted " + admitted);
        }
    }
}
