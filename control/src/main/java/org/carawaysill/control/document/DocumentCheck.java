package org.carawaysill.control.document;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.carawaysill.control.ExitStatus;
import org.carawaysill.control.options.CheckOptions;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.configuration.ServiceConfigurationParser;
import org.carawaysill.model.document.ParseResult;
import org.carawaysill.model.settings.NodeSettings;
import org.carawaysill.model.settings.NodeSettingsParser;

/**
 * Validates documents with the same rules as the nodes, and checks that the documents of several services are
 * consistent with each other. Not thread safe.
 */
public final class DocumentCheck {

    private static final int UNPUBLISHED = 0;

    private final PrintStream output;
    private final PrintStream errors;
    private final DocumentReader files;
    private final SiteCheck site = new SiteCheck();

    /**
     * Creates a check.
     *
     * @param output receives a line for each valid document
     * @param errors receives a line for each fault
     */
    public DocumentCheck(PrintStream output, PrintStream errors) {
        this.output = output;
        this.errors = errors;
        this.files = new DocumentReader(errors);
    }

    /**
     * Checks every document.
     *
     * @param options the documents to check
     * @return {@link ExitStatus#WRONG_INPUT} if a document has a fault or can't be read
     */
    public ExitStatus run(CheckOptions options) {
        boolean allValid = true;
        for (Path file : options.files()) {
            Optional<String> summary = files.read(file).flatMap(text -> check(file, text, options.nodeSettings()));
            summary.ifPresent(line -> output.println(file + ": " + line));
            allValid &= summary.isPresent();
        }
        List<String> siteFaults = site.faults();
        siteFaults.forEach(errors::println);
        return allValid && siteFaults.isEmpty() ? ExitStatus.DONE : ExitStatus.WRONG_INPUT;
    }

    private Optional<String> check(Path file, String text, boolean nodeSettings) {
        return nodeSettings ? settings(file, text) : service(file, text);
    }

    private Optional<String> service(Path file, String text) {
        Optional<ServiceConfiguration> service =
                files.valueOrReportFaults(file, ServiceConfigurationParser.parse(text, UNPUBLISHED));
        service.ifPresent(configuration -> site.add(file, configuration));
        return service.map(DocumentCheck::summary);
    }

    private static String summary(ServiceConfiguration service) {
        return "ok, service " + service.service() + " with "
                + service.copies().size() + " copies, "
                + service.operations().size() + " operations, "
                + service.callers().size() + " callers and "
                + service.selectors().size() + " selectors";
    }

    private Optional<String> settings(Path file, String text) {
        ParseResult<NodeSettings> result = NodeSettingsParser.parse(text);
        return files.valueOrReportFaults(file, result)
                .map(settings -> "ok, node " + settings.node() + " of service " + settings.service());
    }
}
