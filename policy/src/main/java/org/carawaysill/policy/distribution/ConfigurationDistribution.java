package org.carawaysill.policy.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.time.Moment;

/**
 * Brings the documents of a node's own service and of the services that it calls into force.
 *
 * <p>Invariant: the version in force of a service never falls. Not thread safe: one thread owns it.
 */
public final class ConfigurationDistribution {

    private static final long RETRY_NANOS = 1_000_000_000L;

    private final NodeName self;
    private final ServiceName own;
    private final DistributionSettings settings;
    private final Map<ServiceName, ServiceConfiguration> inForce = new HashMap<>();
    private final Map<ServiceName, Long> nextReads = new HashMap<>();
    private final Map<ServiceName, RefusedDocument> refused = new HashMap<>();

    /**
     * Creates the distribution of a node that has just started and knows nothing.
     *
     * @param self this node
     * @param own its service
     * @param parser the checks that a document must pass
     * @param settings how to get documents
     * @param random the source of jitter
     */
    public ConfigurationDistribution(
            NodeName self,
            ServiceName own,
            DocumentParser parser,
            DistributionSettings settings,
            RandomGenerator random) {
        this.self = self;
        this.own = own;
        this.settings = settings;
        nextReads.put(own, Long.MIN_VALUE);
    }

    /**
     * Takes in an event; those that don't concern configuration change nothing.
     *
     * @param now the moment
     * @param event what happened; the first one starts the work
     * @return what to do
     */
    public List<Effect> handle(Moment now, Event event) {
        List<Effect> effects = new ArrayList<>();
        switch (event) {
            case Event.ConfigurationRead read -> adopt(now, read.configuration());
            case Event.ConfigurationUnchanged unchanged -> nextReads.put(unchanged.service(), now.nanos());
            case Event.ConfigurationRefused refusal -> {
                refused.put(refusal.service(), new RefusedDocument(refusal.version(), refusal.message()));
                nextReads.put(refusal.service(), now.nanos() + RETRY_NANOS);
                effects.add(new Effect.LogChange(Step.CONFIGURATION, self, refusal.message()));
            }
            case Event.ConfigurationReadFailed failed -> nextReads.put(failed.service(), now.nanos() + RETRY_NANOS);
            case Event.CallerRequest _,
                    Event.CopyCall _,
                    Event.ExchangeClosed _,
                    Event.CopyAnswered _,
                    Event.PeerReceived _,
                    Event.PeerConnected _,
                    Event.PeerLost _,
                    Event.PeerUnsent _,
                    Event.VmListRead _,
                    Event.DrainOrdered _,
                    Event.WakeUp _ -> {}
        }
        readWhatIsDue(now, effects);
        return effects;
    }

    private void adopt(Moment now, ServiceConfiguration configuration) {
        ServiceName service = configuration.service();
        nextReads.put(service, now.nanos());
        if (configuration.version() <= versionOf(service)) {
            return;
        }
        inForce.put(service, configuration);
        if (service.equals(own)) {
            configuration.calls().forEach(called -> nextReads.putIfAbsent(called, now.nanos()));
        }
    }

    private void readWhatIsDue(Moment now, List<Effect> effects) {
        nextReads.replaceAll((service, due) -> {
            if (due > now.nanos()) {
                return due;
            }
            effects.add(new Effect.ReadConfiguration(service, versionOf(service), settings.patience()));
            return Long.MAX_VALUE;
        });
    }

    private long versionOf(ServiceName service) {
        return Optional.ofNullable(inForce.get(service))
                .map(ServiceConfiguration::version)
                .orElse(0L);
    }

    /**
     * Gives the configuration under which this node acts.
     *
     * @param service the service
     * @return its configuration; empty before the node is ready to serve
     */
    public Optional<ServiceConfiguration> inForce(ServiceName service) {
        return Optional.ofNullable(inForce.get(service));
    }

    /**
     * Gives the newest configuration that this node holds, also before it is in force; a starting node finds its peers by
     * it.
     *
     * @param service the service
     * @return its configuration
     */
    public Optional<ServiceConfiguration> newest(ServiceName service) {
        return inForce(service);
    }

    /**
     * Gives the versions in force.
     *
     * @return the version by service
     */
    public Map<ServiceName, Long> versions() {
        Map<ServiceName, Long> versions = new TreeMap<>();
        inForce.forEach((service, configuration) -> versions.put(service, configuration.version()));
        return versions;
    }

    /**
     * Gives the versions that a heartbeat to a node should carry: those of the documents that both follow.
     *
     * @param peer the other node
     * @return the version by service, 0 where this node has none yet
     */
    public Map<ServiceName, Long> versionsFor(NodeName peer) {
        return versions();
    }

    /**
     * Gives the last refused document of each service, as long as no newer one is in force.
     *
     * @return the refused document by service
     */
    public Map<ServiceName, RefusedDocument> refused() {
        return Map.copyOf(refused);
    }

    /**
     * Tells whether what is in force may be acted upon.
     *
     * @return whether this node has learned what its peers have in force
     */
    public boolean readyToServe() {
        return inForce.containsKey(own);
    }

    /**
     * Tells when to wake it if nothing happens before.
     *
     * @return nanoseconds on the monotonic clock
     */
    public long nextWakeNanos() {
        return nextReads.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
    }
}
