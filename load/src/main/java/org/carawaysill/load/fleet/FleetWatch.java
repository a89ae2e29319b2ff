package org.carawaysill.load.fleet;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carawaysill.load.platform.BenchException;
import org.carawaysill.load.platform.BenchHttp;
import org.carawaysill.load.run.ProcessorSample;
import org.carawaysill.load.site.SiteCopy;
import org.carawaysill.load.site.SiteCopy.Port;

/**
 * Measures a running fleet in three phases: idle; with publications but without queries to the nodes, so that only the
 * nodes' own work counts; and with publications whose time until they are in force is measured by polling the nodes.
 *
 * <p>Not thread safe: used by the main thread only.
 */
public final class FleetWatch {

    private static final int PHASES = 3;
    private static final Duration POLL = Duration.ofMillis(10);
    private static final Duration READY_LIMIT = Duration.ofSeconds(120);
    private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(15);
    private static final long ANY_VERSION = 1;
    private static final double NANOS_PER_SECOND = 1e9;

    private final FleetPlan plan;
    private final FleetWatchSettings settings;
    private final FleetClient client;
    private final PrintStream out;
    private int revision;

    /**
     * Creates the measurement.
     *
     * @param plan the fleet
     * @param settings the settings of the measurement
     * @param http the client for admin interfaces
     * @param out the stream for progress lines
     */
    public FleetWatch(FleetPlan plan, FleetWatchSettings settings, BenchHttp http, PrintStream out) {
        this.plan = plan;
        this.settings = settings;
        this.client = new FleetClient(plan, http);
        this.out = out;
    }

    /**
     * Runs the measurement.
     *
     * @return the report
     * @throws BenchException if a process fails
     */
    public FleetReport run() throws BenchException {
        long startNanos = System.nanoTime();
        awaitReady(startNanos + READY_LIMIT.toNanos());
        double readySeconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        long readsAtStart = client.counts().getLong("reads");
        out.printf("all %d nodes are ready%n", plan.copies().size());
        pause(settings.settling());
        ProcessorSample.take(startNanos);
        List<PhaseReport> phases = new ArrayList<>();
        phases.add(phase("idle", publications -> pause(phaseLength())));
        phases.add(phase("changes", publications -> publish(publications, false)));
        phases.add(phase("timed", publications -> publish(publications, true)));
        return report(readySeconds, readsAtStart, phases);
    }

    private FleetReport report(double readySeconds, long readsAtStart, List<PhaseReport> phases) throws BenchException {
        double livePeers = client.read().nodes().stream()
                .mapToInt(NodeReading::livePeers)
                .average()
                .orElse(0);
        return new FleetReport(
                plan.copies().size(),
                plan.services().size(),
                livePeers,
                readySeconds,
                readsAtStart,
                client.counts().getLong("maximumPerSecond"),
                ProcessorSample.take(System.nanoTime()).busyRatio(),
                phases);
    }

    private Duration phaseLength() {
        return settings.length().dividedBy(PHASES);
    }

    private void awaitReady(long deadlineNanos) throws BenchException {
        for (FleetService service : plan.services()) {
            List<SiteCopy> waiting = client.behind(plan.followers(service), service.name(), ANY_VERSION);
            while (!waiting.isEmpty()) {
                if (System.nanoTime() > deadlineNanos) {
                    SiteCopy first = waiting.getFirst();
                    throw new BenchException(
                            first.number(Port.ADMIN), "/status", first.name() + " has no version of " + service.name());
                }
                pause(settings.interval());
                waiting = client.behind(waiting, service.name(), ANY_VERSION);
            }
        }
    }

    private PhaseReport phase(String name, PhaseWork work) throws BenchException {
        out.printf("phase %s, %d s%n", name, phaseLength().toSeconds());
        Publications publications = new Publications();
        FleetReading before = client.read();
        work.run(publications);
        return PhaseReport.of(name, before, client.read(), publications);
    }

    private void publish(Publications publications, boolean timed) throws BenchException {
        long endNanos = System.nanoTime() + phaseLength().toNanos();
        long nextNanos = System.nanoTime();
        while (nextNanos < endNanos) {
            pauseUntil(nextNanos);
            publishNext(publications, timed);
            nextNanos = Math.max(nextNanos + settings.interval().toNanos(), System.nanoTime());
        }
    }

    private void publishNext(Publications publications, boolean timed) throws BenchException {
        FleetService service = plan.services().get(revision % plan.services().size());
        revision++;
        long publishedNanos = System.nanoTime();
        long version = client.publish(service, revision);
        publications.published();
        if (timed) {
            time(publications, service, version, publishedNanos);
        }
    }

    private void time(Publications publications, FleetService service, long version, long publishedNanos)
            throws BenchException {
        List<SiteCopy> behind = plan.followers(service);
        while (!behind.isEmpty()) {
            pause(POLL);
            behind = client.behind(behind, service.name(), version);
            if (!behind.isEmpty() && System.nanoTime() - publishedNanos > IN_FORCE_LIMIT.toNanos()) {
                out.printf("version %d of %s is not in force on %s%n", version, service.name(), names(behind));
                publications.notInForce();
                return;
            }
        }
        publications.inForceAfter(System.nanoTime() - publishedNanos);
    }

    private static List<String> names(List<SiteCopy> copies) {
        return copies.stream().map(copy -> copy.name().value()).toList();
    }

    private static void pauseUntil(long nanos) {
        pause(Duration.ofNanos(Math.max(0, nanos - System.nanoTime())));
    }

    private static void pause(Duration length) {
        try {
            Thread.sleep(length);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** The work of a phase. */
    private interface PhaseWork {

        void run(Publications publications) throws BenchException;
    }
}
