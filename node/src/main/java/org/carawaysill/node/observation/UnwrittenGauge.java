package org.carawaysill.node.observation;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.Supplier;
import org.carawaysill.model.request.UnwrittenAnswers;

/** Exports the answers that connections have not written yet. Stateless and thread safe. */
public final class UnwrittenGauge {

    private UnwrittenGauge() {}

    /**
     * Registers the gauge of some connections.
     *
     * @param registry the registry of metrics, which must be read on the thread of the connections
     * @param name the name of the gauge, without the prefix
     * @param receivers who reads the answers
     * @param unwritten returns the answers that are not written now
     */
    public static void register(
            PrometheusRegistry registry, String name, String receivers, Supplier<UnwrittenAnswers> unwritten) {
        GaugeWithCallback.builder()
                .name(Counters.PREFIX + name)
                .help("What " + receivers + " have not read yet: connections, answers, and their bytes in this process")
                .labelNames("kind")
                .callback(callback -> {
                    UnwrittenAnswers now = unwritten.get();
                    callback.call(now.connections(), "connections");
                    callback.call(now.answers(), "answers");
                    callback.call(now.bytes(), "bytes");
                })
                .register(registry);
    }
}
