package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Overload on a site where organisations of two ranks request more than its deepest service can do. */
class ShiftedSiteTest {

    private static final double SECONDS = 10;

    @Nested
    class Organisations {

        /**
         * Guards against starvation of the last rank: at 2.3 times the usual load the first rank alone requests all
         * capacity.
         */
        @Test
        void areEachServedAtLeastAQuarterAsOftenAsAll() {
            ShiftedSite site = new ShiftedSite(1);
            site.abuse(0.3, 2);
            site.offer(2.3, 0, SECONDS);
            site.play(SECONDS + 4);
            double all = site.goodOfAll();
            double worst = site.goodOfTheWorst();
            assertTrue(worst > all / 4, () -> worst + " of the worst, " + all + " of all");
        }
    }
}
