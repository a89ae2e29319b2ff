package org.carawaysill.load.run;

import java.util.List;
import org.carawaysill.load.audit.Audit;

/**
 * The raw material of a report.
 *
 * <p>Immutable and thread safe.
 *
 * @param settings what the run did
 * @param audit the requests and what the copies ran
 * @param processors how busy the machine was
 */
public record RunOutcome(RunSettings settings, Audit audit, List<ProcessorSample> processors) {

    public RunOutcome {
        processors = List.copyOf(processors);
    }
}
