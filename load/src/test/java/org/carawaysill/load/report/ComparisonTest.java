package org.carawaysill.load.report;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.approvaltests.Approvals;
import org.carawaysill.load.audit.Audit;
import org.carawaysill.load.audit.NodeCounters;
import org.carawaysill.load.audit.RunLog;
import org.carawaysill.load.client.ClientSettings;
import org.carawaysill.load.client.RequestRecord;
import org.carawaysill.load.client.TryResult;
import org.carawaysill.load.client.TryResult.NotRun;
import org.carawaysill.load.client.TryResult.TimedOut;
import org.carawaysill.load.client.TryResult.Whole;
import org.carawaysill.load.plot.GoodputPlot;
import org.carawaysill.load.run.ProcessorSample;
import org.carawaysill.load.run.RunOutcome;
import org.carawaysill.load.run.RunSettings;
import org.carawaysill.load.scenario.Scenario;
import org.carawaysill.load.schedule.Arrival;
import org.carawaysill.load.site.Hop;
import org.carawaysill.load.site.SmallSite;
import org.carawaysill.model.identity.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ComparisonTest {

    private static final NodeCounters COUNTERS =
            new NodeCounters(Map.of(), Map.of("refused", 7L), Map.of(), Map.of("refusal_order", 1L));
    private static final long ANSWER_NANOS = 60_000_000;
    private static final Hop LOOKUP = new Hop(new ServiceName("entry"), "item-lookup");

    @TempDir
    private Path directory;

    /** Returns a run in which each request that arrives during a trigger has the given results of its tries. */
    private RunReport report(String policy, List<TryResult> tries) {
        RunSettings settings = new RunSettings(
                policy, SmallSite.read(), Scenario.BOTH, 1, 10, ClientSettings.impatient(), Duration.ZERO);
        RunLog log = new RunLog();
        List<RequestRecord> records = new ArrayList<>();
        for (Arrival arrival : settings.schedule().draw()) {
            boolean wrong = settings.timeline().triggered(arrival.atNanos());
            List<TryResult> results = wrong ? tries : List.of(new Whole());
            String trace = String.valueOf(arrival.number());
            records.add(
                    new RequestRecord(arrival, trace, arrival.atNanos(), results, arrival.atNanos() + ANSWER_NANOS));
            log.add(trace, LOOKUP, results.size());
        }
        Audit audit = new Audit(settings.site().graph(), records, log, COUNTERS);
        return new ReportBuilder(new RunOutcome(settings, audit, List.of(new ProcessorSample(5_000_000_000L, 0.5))))
                .build();
    }

    private Comparison comparison() {
        NotRun refused = new NotRun("overload", Duration.ofSeconds(1));
        return new Comparison(
                report("baseline", List.of(new TimedOut(), new TimedOut(), new TimedOut(), new TimedOut())),
                report("carawaysill", List.of(refused, new Whole())));
    }

    @Test
    void printsBothPoliciesSideBySide() {
        Approvals.verify(ComparisonTable.of(comparison()));
    }

    @Test
    void drawsBothPolicies() {
        Approvals.verify(
                new GoodputPlot(List.of(comparison().baseline(), comparison().carawaysill())).svg());
    }

    @Test
    void readsWhatItWrote() throws Exception {
        RunReport report = comparison().carawaysill();
        Path file = directory.resolve("report.json");
        ReportFiles.write(file, report);
        assertEquals(report, ReportFiles.read(file));
        assertEquals('{', Files.readString(file).charAt(0));
    }
}
