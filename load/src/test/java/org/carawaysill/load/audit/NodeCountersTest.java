package org.carawaysill.load.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

class NodeCountersTest {

    private static final String METRICS = """
            # TYPE carawaysill_breaches counter
            carawaysill_breaches_total{reason="refusal_order"} 2.0
            carawaysill_breaches_total{reason="own_answer"} 0.0
            carawaysill_refusals_total{reason="overload"} 1.5E3
            carawaysill_exchanges_total{side="ingress",outcome="answered"} 7.0
            """;

    @Test
    void sumsWhatOccurredOverNodes() {
        NodeCounters one = NodeCounters.parse(METRICS);
        NodeCounters sum = one.plus(one).plus(NodeCounters.none());
        assertEquals(new NodeCounters(Map.of("overload", 3000L), Map.of(), Map.of(), Map.of("refusal_order", 4L)), sum);
    }
}
