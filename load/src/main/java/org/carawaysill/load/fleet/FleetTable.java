package org.carawaysill.load.fleet;

import java.util.Locale;
import java.util.stream.Collectors;

/** Formats the report of a fleet as a table. Stateless and thread safe. */
public final class FleetTable {

    private static final int PERCENT = 100;

    private FleetTable() {}

    /**
     * Returns the table.
     *
     * @param report the report
     * @return lines, each with a line end
     */
    public static String of(FleetReport report) {
        String heading = format(
                "%d nodes in %d services, %.1f watched by each; %d reads until ready, at most %d a second; machine %.0f%% busy%n",
                report.nodes(),
                report.services(),
                report.livePeersMean(),
                report.readsAtStart(),
                report.largestReadsPerSecond(),
                PERCENT * report.processorsBusy());
        String columns = format(
                "%-10s %6s %8s %15s %13s %17s %8s %20s %7s%n",
                "phase",
                "s",
                "changes",
                "core % mean/max",
                "MB mean/max",
                "bytes/s mean/max",
                "reads/s",
                "in force ms p50/max",
                "overdue");
        return heading + columns + report.phases().stream().map(FleetTable::row).collect(Collectors.joining());
    }

    private static String row(PhaseReport phase) {
        return format(
                "%-10s %6.1f %8d %15s %13s %17s %8.2f %20s %7d%n",
                phase.name(),
                phase.seconds(),
                phase.publications(),
                format("%.2f/%.2f", PERCENT * phase.processorShareMean(), PERCENT * phase.processorShareMax()),
                format("%.0f/%.0f", phase.residentMegabytesMean(), phase.residentMegabytesMax()),
                format("%.0f/%.0f", phase.bytesPerSecondMean(), phase.bytesPerSecondMax()),
                phase.readsPerSecond(),
                inForce(phase),
                phase.overdue());
    }

    private static String inForce(PhaseReport phase) {
        return phase.inForceMilliseconds().count() == 0
                ? "-"
                : format(
                        "%.0f/%.0f",
                        phase.inForceMilliseconds().p50(),
                        phase.inForceMilliseconds().max());
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
