package org.carawaysill.load.report;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.carawaysill.load.client.RequestRecord;
import org.carawaysill.load.client.TryResult;
import org.carawaysill.load.scenario.Scenario;
import org.carawaysill.load.scenario.Timeline;
import org.carawaysill.load.schedule.Arrival;
import org.carawaysill.load.site.SmallSite;
import org.junit.jupiter.api.Test;

class RecoveryTest {

    private static final int PER_BUCKET = 10;
    private static final int FIRST_RECOVERY_BUCKET = 70;

    private final Timeline timeline = Timeline.of(Scenario.BOTH, 10);

    /** Returns ten requests for each bucket, answered in the same bucket if the predicate holds for it. */
    private Recovery recovery(IntPredicate answered, IntPredicate sent) {
        List<RequestRecord> records = new ArrayList<>();
        IntStream.range(0, 100)
                .filter(sent)
                .forEach(bucket -> IntStream.range(0, PER_BUCKET)
                        .forEach(i -> records.add(request(bucket, answered.test(bucket)))));
        return Recovery.of(
                new Buckets(timeline, records),
                PER_BUCKET * 10,
                timeline.recoveries().getFirst());
    }

    private static RequestRecord request(int bucket, boolean whole) {
        long at = bucket * Buckets.BUCKET_NANOS;
        TryResult result = whole ? new TryResult.Whole() : new TryResult.TimedOut();
        return new RequestRecord(
                new Arrival(0, at, SmallSite.operation("lookup"), 1), "trace", at, List.of(result), at);
    }

    @Test
    void isZeroIfGoodputIsNormalAtOnce() {
        assertEquals(new Recovery(0, true), recovery(bucket -> bucket >= FIRST_RECOVERY_BUCKET, bucket -> true));
    }

    @Test
    void countsUntilTheFirstNormalSecond() {
        Recovery late = recovery(bucket -> bucket >= FIRST_RECOVERY_BUCKET + 12, bucket -> true);
        assertEquals(new Recovery(1.2, true), late);
    }

    @Test
    void isTheTimeWatchedIfTheNormalGoodputNeverReturns() {
        assertEquals(new Recovery(3, false), recovery(bucket -> bucket % 2 == 0, bucket -> true));
    }

    @Test
    void doesNotAskForMoreThanWasSent() {
        IntPredicate sparse = bucket -> bucket % 2 == 0;
        assertEquals(new Recovery(0, true), recovery(bucket -> true, sparse));
    }
}
