package org.carawaysill.node.fleet;

import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.observation.ExchangeResult;
import org.carawaysill.policy.fleet.Decision;
import org.carawaysill.policy.time.Nanos;

/**
 * Histograms of the latencies of requests at the node where they entered the fleet, by outcome.
 *
 * <p>Invariant: each final answer, and each client that left before its answer, is observed once. Thread safe.
 */
final class RequestLatencies {

    /** The name of the histogram without its prefix; the unit is seconds. */
    static final String SERIES = "request_seconds";

    /**
     * Cover immediate refusals, the target latencies of routes (0.1 to 1.5 s) and the longest time limits of callers (6
     * s).
     */
    private static final double[] BUCKETS_SECONDS = {0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6};

    private final Map<ExchangeResult, DistributionDataPoint> points = new EnumMap<>(ExchangeResult.class);

    RequestLatencies(PrometheusRegistry registry) {
        Histogram histogram = Histogram.builder()
                .name(Counters.PREFIX + SERIES)
                .help("Time from a request's arrival to its final answer")
                .labelNames("outcome")
                .classicOnly()
                .classicUpperBounds(BUCKETS_SECONDS)
                .withoutExemplars()
                .register(registry);
        for (ExchangeResult result : ExchangeResult.values()) {
            points.put(result, histogram.labelValues(Counters.labelValue(result)));
        }
    }

    /** Observes a decision that ends a request and ignores all others. */
    void observe(Decision decision) {
        switch (decision) {
            case Decision.Answered answered -> observe(result(answered.outcome()), answered.tookNanos());
            case Decision.Abandoned abandoned -> observe(ExchangeResult.CLOSED, abandoned.tookNanos());
            case Decision.Sent _,
                    Decision.Retried _,
                    Decision.LinkWait _,
                    Decision.PlaceEnded _,
                    Decision.FailedAtCopy _,
                    Decision.SuspectHandled _,
                    Decision.OfState _ -> {}
        }
    }

    private void observe(ExchangeResult result, long nanos) {
        points.get(result).observe(nanos / Nanos.PER_SECOND);
    }

    private static ExchangeResult result(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered _ -> ExchangeResult.ANSWERED;
            case Outcome.NotRun _ -> ExchangeResult.NOT_RUN;
            case Outcome.Unknown _ -> ExchangeResult.UNKNOWN;
        };
    }
}
