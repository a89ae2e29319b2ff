package org.carawaysill.control.fleet;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.carawaysill.control.ExitStatus;
import org.carawaysill.control.document.DocumentReader;
import org.carawaysill.control.options.ServiceVersion;
import org.carawaysill.control.options.StatusOptions;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.settings.NodeSettingsParser;

/**
 * Shows the configuration versions that are in force on each node. Not thread safe.
 */
public final class FleetStatus {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    private final PrintStream output;
    private final PrintStream errors;
    private final DocumentReader files;

    /**
     * Creates the command.
     *
     * @param output receives the state of the nodes
     * @param errors receives error messages about the command line and the settings
     */
    public FleetStatus(PrintStream output, PrintStream errors) {
        this.output = output;
        this.errors = errors;
        this.files = new DocumentReader(errors);
    }

    /**
     * Asks the nodes for their state, once or until a version is in force.
     *
     * @param options the nodes, and what to wait for
     * @return {@link ExitStatus#CHECK_FAILED} if a node is behind or does not answer
     */
    public ExitStatus run(StatusOptions options) {
        Optional<List<NetworkAddress>> nodes = addresses(options);
        if (nodes.isEmpty()) {
            return ExitStatus.WRONG_INPUT;
        }
        if (nodes.get().isEmpty()) {
            errors.println("carawaysill-control status: name the nodes with --admin or --settings");
            return ExitStatus.WRONG_INPUT;
        }
        try (AdminClient client = new AdminClient()) {
            return options.until()
                    .map(wanted -> await(client, nodes.get(), wanted, options.patience()))
                    .orElseGet(() -> show(client.status(nodes.get())));
        }
    }

    private Optional<List<NetworkAddress>> addresses(StatusOptions options) {
        List<NetworkAddress> addresses = new ArrayList<>(options.admin());
        boolean readable = true;
        for (Path file : options.settings()) {
            Optional<NetworkAddress> admin = files.read(file).flatMap(text -> admin(file, text));
            admin.ifPresent(addresses::add);
            readable &= admin.isPresent();
        }
        return readable ? Optional.of(addresses) : Optional.empty();
    }

    private Optional<NetworkAddress> admin(Path file, String text) {
        return files.valueOrReportFaults(file, NodeSettingsParser.parse(text))
                .map(settings -> settings.addresses().admin());
    }

    private ExitStatus show(List<NodeAnswer> answers) {
        FleetReport report = new FleetReport(answers);
        report.lines().forEach(output::println);
        return report.allUpToDate() ? ExitStatus.DONE : ExitStatus.CHECK_FAILED;
    }

    private ExitStatus await(AdminClient client, List<NetworkAddress> nodes, ServiceVersion wanted, Duration patience) {
        long start = System.nanoTime();
        while (true) {
            FleetReport report = new FleetReport(client.status(nodes));
            Duration waited = Duration.ofNanos(System.nanoTime() - start);
            if (report.isInForce(wanted)) {
                output.println(wanted + " is in force on all " + report.users(wanted) + " nodes that use it, after "
                        + waited.toMillis() + " ms");
                return ExitStatus.DONE;
            }
            if (waited.compareTo(patience) >= 0) {
                report.lines().forEach(output::println);
                output.println(wanted + " is not in force everywhere after " + waited.toMillis() + " ms");
                return ExitStatus.CHECK_FAILED;
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }
}
