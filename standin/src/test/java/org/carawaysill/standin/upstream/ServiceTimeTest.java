package org.carawaysill.standin.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;

class ServiceTimeTest {

    private static final long START = 7_000_000_000L;
    private static final int DRAWS = 20_000;

    private final ServiceTime time = new ServiceTime(new SplittableRandom(1), 1_000, START);

    @Test
    void drawsAroundTheMeanOnceTheCopyIsWarm() {
        assertEquals(50.0, meanAt(START + TimeUnit.SECONDS.toNanos(1)), 0.5);
    }

    @Test
    void takesFourTimesAsLongRightAfterAStartAndLessAsTheCopyWarmsUp() {
        assertEquals(200.0, meanAt(START), 2.0);
        assertEquals(125.0, meanAt(START + TimeUnit.MILLISECONDS.toNanos(500)), 1.25);
    }

    @Test
    void isColdAgainAfterARestart() {
        time.restart(START + TimeUnit.SECONDS.toNanos(9));

        assertEquals(200.0, meanAt(START + TimeUnit.SECONDS.toNanos(9)), 2.0);
    }

    private double meanAt(long nowNanos) {
        return DoubleStream.generate(() -> time.draw(nowNanos, 50.0))
                .limit(DRAWS)
                .average()
                .orElseThrow();
    }
}
