package org.carawaysill.node.observation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.request.Counted;
import org.junit.jupiter.api.Test;

class CountersTest {

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Counters counters = new Counters(registry);

    private Map<String, Double> reasons() {
        Map<String, Double> values = new HashMap<>();
        for (var snapshot : registry.scrape(name -> name.startsWith(Counters.PREFIX))) {
            if (snapshot instanceof CounterSnapshot counter) {
                counter.getDataPoints().stream()
                        .filter(point -> point.getLabels().contains("reason"))
                        .forEach(point -> values.put(
                                counter.getMetadata().getName()
                                        + "/"
                                        + point.getLabels().get("reason"),
                                point.getValue()));
            }
        }
        return values;
    }

    /*
     * Requests were no longer answered after a new family of counters was added to the model, because the first count
     * of it threw an exception. Checks that each constant of each family has its own series from the start.
     */
    @Test
    void countsEachReasonOfTheModelInItsOwnSeries() {
        Map<String, Double> expected = reasons();
        for (Class<?> family : Counted.class.getPermittedSubclasses()) {
            for (Object constant : family.getEnumConstants()) {
                Map<String, Double> before = reasons();
                counters.count((Counted) constant);
                Map<String, Double> after = reasons();
                assertEquals(expected.keySet(), after.keySet());
                after.entrySet().removeIf(entry -> entry.getValue().equals(before.get(entry.getKey())));
                assertEquals(1, after.size(), constant.toString());
                assertEquals(1.0, after.values().iterator().next());
            }
        }
    }
}
