package org.carawaysill.node.observation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Arrays;
import java.util.stream.Stream;
import org.carawaysill.model.request.Counted;
import org.junit.jupiter.api.Test;

class CountersTest {

    private static Stream<Counted> everyCounted(Class<?> type) {
        return type.isEnum()
                ? Arrays.stream(type.getEnumConstants()).map(Counted.class::cast)
                : Arrays.stream(type.getPermittedSubclasses()).flatMap(CountersTest::everyCounted);
    }

    /**
     * A node starts, but never serves and never reads its configuration. The policy asks to count the read and then to
     * make it; counting fails, because the family of counters was never made, and the read behind it is dropped.
     */
    @Test
    void haveASeriesForWhateverThePolicyCounts() {
        Counters counters = new Counters(new PrometheusRegistry());
        long counted = everyCounted(Counted.class).peek(counters::count).count();
        assertTrue(counted > 0);
    }
}
