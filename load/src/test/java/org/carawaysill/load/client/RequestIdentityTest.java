package org.carawaysill.load.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.UUID;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class RequestIdentityTest {

    @Property(seed = "1", tries = 200)
    void mintsVersionSevenKeysThatCarryTheirTime(
            @ForAll @LongRange(max = (1L << 47) - 1) long epochMilliseconds, @ForAll long seed) {
        RequestIdentity identity = RequestIdentity.mint(epochMilliseconds, new SplittableRandom(seed));
        UUID key = UUID.fromString(identity.idempotencyKey());
        assertEquals(7, key.version());
        assertEquals(2, key.variant());
        assertEquals(epochMilliseconds, key.getMostSignificantBits() >>> 16);
        assertTrue(identity.traceParent().matches("00-[0-9a-f]{32}-[0-9a-f]{16}-01"), identity.traceParent());
    }
}
