package org.carawaysill.load.run;

import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.carawaysill.load.scenario.Timeline;

/**
 * Prints a progress line every second during a run, and samples the processor utilisation.
 *
 * <p>Not thread safe: used on one event loop.
 */
final class Progress {

    private static final long INTERVAL_MILLISECONDS = 1000;

    private final RunSettings settings;
    private final Timeline timeline;
    private final Sender sender;
    private final long startNanos;
    private final PrintStream out;
    private final List<ProcessorSample> samples = new ArrayList<>();
    private int sentBefore;
    private int wholeBefore;

    Progress(RunSettings settings, Sender sender, long startNanos, PrintStream out) {
        this.settings = settings;
        this.timeline = settings.timeline();
        this.sender = sender;
        this.startNanos = startNanos;
        this.out = out;
    }

    void start(Vertx vertx) {
        vertx.setPeriodic(INTERVAL_MILLISECONDS, timer -> print());
    }

    List<ProcessorSample> samples() {
        return List.copyOf(samples);
    }

    private void print() {
        long now = System.nanoTime() - startNanos;
        ProcessorSample sample = ProcessorSample.take(now);
        samples.add(sample);
        out.println(String.format(
                Locale.ROOT,
                "%-10s %-8s %3d s  sent %5d/s  whole %5d/s  in flight %5d  processors %3.0f%%",
                settings.policy(),
                now < timeline.endNanos() ? timeline.phaseName(now) : "drain",
                now / 1_000_000_000L,
                sender.sent() - sentBefore,
                sender.whole() - wholeBefore,
                sender.inFlight(),
                100 * sample.busyRatio()));
        sentBefore = sender.sent();
        wholeBefore = sender.whole();
    }
}
