package org.carawaysill.node.observation;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.model.request.Counted;
import org.carawaysill.policy.time.Nanos;

/**
 * The node's counters and histograms.
 *
 * <p>Invariant: each reason has its series from the start, with the value 0, so that the first occurrence is visible as
 * an increase. Thread safe.
 */
public final class Counters implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "counters";

    /** The prefix of the names of all series. */
    public static final String PREFIX = "carawaysill_";

    /** The plural names of counter families; a family that is not listed keeps its name. */
    private static final Map<String, String> SERIES = Map.of(
            "refusal",
            "refusals",
            "retry",
            "retries",
            "breach",
            "breaches",
            "crash",
            "crashes",
            "copy_notice",
            "copy_notices",
            "body",
            "bodies",
            "work_class",
            "work_classes",
            "share_refusal",
            "share_refusals");

    private static final Map<String, String> HELP = Map.ofEntries(
            Map.entry("refusal", "Requests refused and not run"),
            Map.entry("unknown", "Requests of which it is not known whether they ran"),
            Map.entry("retry", "Requests tried again"),
            Map.entry("breach", "Broken promises that the program noticed about itself"),
            Map.entry("configuration", "What became of configuration that was read or received"),
            Map.entry("crash", "Crashes of the copy beside the node, and what was concluded from those of all copies"),
            Map.entry("copy_notice", "Changes in what the answers of the copy beside the node state about it"),
            Map.entry("copy_leaving", "Copies beside the node that began to leave, by what showed it"),
            Map.entry("body", "Large bodies that are sent after their requests, and the places granted for them"),
            Map.entry("work_class", "What the division of the copy's slots between short and long work led to"),
            Map.entry("share_refusal", "Requests refused at the entry, by what bounds their share"));

    private static final double[] HANDOFF_BUCKETS = {
        5e-6, 10e-6, 25e-6, 50e-6, 100e-6, 250e-6, 500e-6, 1e-3, 5e-3, 25e-3, 100e-3, 1
    };

    private final PrometheusRegistry registry;

    private final Map<Object, CounterDataPoint> occurrences = new HashMap<>();

    private final Map<ExchangeSide, Map<ExchangeResult, CounterDataPoint>> exchanges = new HashMap<>();

    private final CounterDataPoint policyFailures;

    private final CounterDataPoint effectFailures;

    private final CounterDataPoint libraryWarnings;

    private final DistributionDataPoint handoff;

    /**
     * Creates all series.
     *
     * @param registry the registry for the series
     */
    public Counters(PrometheusRegistry registry) {
        this.registry = registry;
        addCounted();
        addReasons("bad_requests", "Requests that were malformed or too large", BadRequest.values());
        addReasons("connections_closed", "HTTP connections that the node closed", ConnectionFault.values());
        addReasons("lost_messages", "Messages and answers that the node dropped", LostMessage.values());
        addExchanges();
        policyFailures =
                counter("policy_failures", "Events at which the policy failed").labelValues();
        effectFailures =
                counter("effect_failures", "Effects of the policy that failed").labelValues();
        libraryWarnings =
                counter("library_warnings", "Warnings that libraries logged").labelValues();
        handoff = handoffHistogram();
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder()
                .name(PREFIX + name)
                .help(help)
                .labelNames(labels)
                .withoutExemplars()
                .register(registry);
    }

    /** Derives the families from the sealed type, so that a family that is added later has its series as well. */
    private void addCounted() {
        for (Class<?> family : Counted.class.getPermittedSubclasses()) {
            Enum<?>[] reasons = (Enum<?>[]) family.getEnumConstants();
            String name = ((Counted) reasons[0]).family();
            addReasons(SERIES.getOrDefault(name, name), HELP.getOrDefault(name, "Occurrences by reason"), reasons);
        }
    }

    private void addReasons(String name, String help, Enum<?>... reasons) {
        Counter counter = counter(name, help, "reason");
        for (Enum<?> reason : reasons) {
            occurrences.put(reason, counter.labelValues(labelValue(reason)));
        }
    }

    private void addExchanges() {
        Counter counter = counter("exchanges", "HTTP exchanges that ended", "side", "outcome");
        for (ExchangeSide side : ExchangeSide.values()) {
            Map<ExchangeResult, CounterDataPoint> results = new HashMap<>();
            for (ExchangeResult result : ExchangeResult.values()) {
                results.put(result, counter.labelValues(labelValue(side), labelValue(result)));
            }
            exchanges.put(side, results);
        }
    }

    private DistributionDataPoint handoffHistogram() {
        return Histogram.builder()
                .name(PREFIX + "handoff_seconds")
                .help("Time from an event to the policy's look at it")
                .classicOnly()
                .classicUpperBounds(HANDOFF_BUCKETS)
                .withoutExemplars()
                .register(registry);
    }

    /**
     * Returns the label value for a constant.
     *
     * @param value the constant
     * @return its name in lower case
     */
    public static String labelValue(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public String name() {
        return NAME;
    }

    /**
     * Returns the registry of all series.
     *
     * @return the registry
     */
    public PrometheusRegistry registry() {
        return registry;
    }

    /**
     * Counts an occurrence that the policy or an adapter reports.
     *
     * @param counted the occurrence
     */
    public void count(Counted counted) {
        increment(counted);
    }

    /**
     * Counts a request that was rejected before it became an event, also under its refusal reason.
     *
     * @param kind what is wrong with it
     */
    public void count(BadRequest kind) {
        increment(kind);
        increment(kind.reason());
    }

    /**
     * Counts a closed connection.
     *
     * @param fault why the node closed it
     */
    public void count(ConnectionFault fault) {
        increment(fault);
    }

    /**
     * Counts a dropped message.
     *
     * @param message the kind of message
     */
    public void count(LostMessage message) {
        increment(message);
    }

    private void increment(Object reason) {
        CounterDataPoint point = occurrences.get(reason);
        if (point == null) {
            throw new IllegalArgumentException("no series for " + reason);
        }
        point.inc();
    }

    /**
     * Counts an exchange that ended.
     *
     * @param side the server of the exchange
     * @param result how it ended
     */
    public void exchangeEnded(ExchangeSide side, ExchangeResult result) {
        exchanges.get(side).get(result).inc();
    }

    /** Counts an event at which the policy failed. */
    public void policyFailure() {
        policyFailures.inc();
    }

    /** Counts an effect that could not be dispatched. */
    public void effectFailure() {
        effectFailures.inc();
    }

    /** Counts a warning that a library logged. */
    public void libraryWarning() {
        libraryWarnings.inc();
    }

    /**
     * Records how long an event waited for the policy.
     *
     * @param nanos the time in nanoseconds
     */
    public void handoff(long nanos) {
        handoff.observe(nanos / Nanos.PER_SECOND);
    }
}
