package org.carawaysill.control.document;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import org.carawaysill.control.ExitStatus;
import org.carawaysill.control.options.CheckOptions;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.configuration.ServiceConfigurationParser;
import org.carawaysill.model.document.ParseResult;
import org.carawaysill.model.settings.NodeSettings;
import org.carawaysill.model.settings.NodeSettingsParser;

/**
 * Checks documents as the nodes do. Not thread safe.
 */
public final class DocumentCheck {

    private static final int UNPUBLISHED = 0;

    private final PrintStream output;
    private final DocumentFile files;

    /**
     * Prepares a check.
     *
     * @param output receives a line for each faultless document
     * @param errors receives a line for each fault
     */
    public DocumentCheck(PrintStream output, PrintStream errors) {
        this.output = output;
        this.files = new DocumentFile(errors);
    }

    /**
     * Checks every document.
     *
     * @param options the documents
     * @return {@link ExitStatus#WRONG_INPUT} if any has a fault or can't be read
     */
    public ExitStatus run(CheckOptions options) {
        boolean faultless = true;
        for (Path file : options.files()) {
            Optional<String> summary = files.read(file)
                    .flatMap(text -> options.nodeSettings() ? settings(file, text) : service(file, text));
            summary.ifPresent(line -> output.println(file + ": " + line));
            faultless &= summary.isPresent();
        }
        return faultless ? ExitStatus.DONE : ExitStatus.WRONG_INPUT;
    }

    private Optional<String> service(Path file, String text) {
        return switch (ServiceConfigurationParser.parse(text, UNPUBLISHED)) {
            case ParseResult.Valid<ServiceConfiguration> valid -> Optional.of(summary(valid.value()));
            case ParseResult.Invalid<ServiceConfiguration> invalid -> {
                files.complain(file, invalid.faults());
                yield Optional.empty();
            }
        };
    }

    private static String summary(ServiceConfiguration service) {
        return "ok, service " + service.service() + " with "
                + service.copies().size() + " copies, "
                + service.operations().size() + " operations, "
                + service.callers().size() + " callers and "
                + service.selectors().size() + " selectors";
    }

    private Optional<String> settings(Path file, String text) {
        return switch (NodeSettingsParser.parse(text)) {
            case ParseResult.Valid<NodeSettings> valid ->
                Optional.of("ok, node " + valid.value().node() + " of service "
                        + valid.value().service());
            case ParseResult.Invalid<NodeSettings> invalid -> {
                files.complain(file, invalid.faults());
                yield Optional.empty();
            }
        };
    }
}
