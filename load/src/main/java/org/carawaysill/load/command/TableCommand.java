package org.carawaysill.load.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.carawaysill.load.plot.GoodputPlot;
import org.carawaysill.load.report.Comparison;
import org.carawaysill.load.report.ComparisonTable;
import org.carawaysill.load.report.ReportFiles;
import org.jspecify.annotations.NullUnmarked;
import org.kohsuke.args4j.Option;

/** The sub-command {@code table}. Not thread safe. */
@NullUnmarked
public final class TableCommand implements Subcommand {

    @Option(name = "--baseline", required = true, metaVar = "FILE", usage = "the report of the baseline")
    private Path baseline;

    @Option(name = "--carawaysill", required = true, metaVar = "FILE", usage = "the report of carawaysill")
    private Path carawaysill;

    @Option(name = "--report", metaVar = "FILE", usage = "where to write both reports, as one JSON document")
    private Path report;

    @Option(name = "--plot", metaVar = "FILE", usage = "where to draw goodput over time, as SVG")
    private Path plot;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    @Override
    public boolean help() {
        return help;
    }

    @Override
    public void run(PrintStream out) throws IOException {
        Comparison comparison = new Comparison(ReportFiles.read(baseline), ReportFiles.read(carawaysill));
        out.print(ComparisonTable.of(comparison));
        if (report != null) {
            ReportFiles.write(report, comparison);
        }
        if (plot != null) {
            GoodputPlot drawing = new GoodputPlot(List.of(comparison.baseline(), comparison.carawaysill()));
            Files.writeString(plot, drawing.svg());
        }
    }
}
