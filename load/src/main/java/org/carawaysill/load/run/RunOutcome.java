package org.carawaysill.load.run;

import java.util.List;
import org.carawaysill.load.audit.Audit;

/**
 * The recorded data of a run, from which a report is computed.
 *
 * <p>Immutable and thread safe.
 *
 * @param settings the settings of the run
 * @param audit the requests and the runs of the copies
 * @param processors the samples of processor utilisation
 */
public record RunOutcome(RunSettings settings, Audit audit, List<ProcessorSample> processors) {

    public RunOutcome {
        processors = List.copyOf(processors);
    }
}
