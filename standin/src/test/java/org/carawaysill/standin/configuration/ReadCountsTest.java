package org.carawaysill.standin.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ReadCountsTest {

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ReadCounts counts = new ReadCounts();

    @Test
    void tellsTheCallsOfTheLastWholeSecondAndOfTheBusiest() {
        counts.called(0, false);
        counts.called(SECOND - 1, true);
        counts.called(SECOND, false);

        JsonObject during = counts.toJson(SECOND + 1, 0);
        assertEquals(2, during.getInteger("perSecond"));
        JsonObject later = counts.toJson(3 * SECOND, 0);
        assertEquals(0, later.getInteger("perSecond"));
        assertEquals(2, later.getInteger("maximumPerSecond"));
    }
}
