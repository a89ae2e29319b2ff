package org.carawaysill.control.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.carawaysill.control.options.ServiceVersion;
import org.carawaysill.model.identity.ServiceName;

/**
 * Evaluates the answers of the nodes of a fleet and formats them for the operator.
 *
 * <p>Immutable and thread safe.
 *
 * @param answers the result for each node that was asked
 */
record FleetReport(List<NodeAnswer> answers) {

    private static final String LINE = "%-20s %-12s %-9s %s";

    FleetReport {
        answers = List.copyOf(answers);
    }

    /** Tells whether each node answered and no node is behind another. */
    boolean allUpToDate() {
        FleetVersions versions = versions();
        return allAnswered()
                && versions.newest().keySet().stream()
                        .allMatch(service -> versions.behind(service).isEmpty());
    }

    /** Tells whether each node answered and each that uses the service has the version or a newer one in force. */
    boolean isInForce(ServiceVersion wanted) {
        return allAnswered() && users(wanted) > 0 && versions().behind(wanted).isEmpty();
    }

    /** Counts the nodes that use a service. */
    int users(ServiceVersion wanted) {
        return versions().users(wanted.service()).size();
    }

    /** Returns the report: a line for each node, then a line for each service. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(LINE.formatted("NODE", "ZONE", "STATE", "VERSIONS IN FORCE"));
        answers.forEach(answer -> lines.add(line(answer)));
        FleetVersions versions = versions();
        versions.newest().keySet().forEach(service -> lines.add(line(versions, service)));
        return lines;
    }

    private FleetVersions versions() {
        return FleetVersions.of(answers.stream()
                .filter(NodeAnswer.Reported.class::isInstance)
                .map(answer -> ((NodeAnswer.Reported) answer).report())
                .toList());
    }

    private boolean allAnswered() {
        return answers.stream().allMatch(NodeAnswer.Reported.class::isInstance);
    }

    private static String line(NodeAnswer answer) {
        return switch (answer) {
            case NodeAnswer.Reported(var admin, NodeReport report) ->
                LINE.formatted(
                        report.node(), report.zone(), report.draining() ? "draining" : "serving", versions(report));
            case NodeAnswer.Silent(var admin, String reason) -> LINE.formatted(admin, "-", "silent", reason);
        };
    }

    private static String versions(NodeReport report) {
        return report.versions().entrySet().stream()
                .map(entry -> entry.getKey() + " " + entry.getValue())
                .collect(Collectors.joining(", "));
    }

    private static String line(FleetVersions versions, ServiceName service) {
        List<NodeReport> behind = versions.behind(service);
        int users = versions.users(service).size();
        String line = service + ": version " + versions.newest().get(service) + " in force on "
                + (users - behind.size()) + " of " + users + " nodes";
        if (behind.isEmpty()) {
            return line;
        }
        return line
                + behind.stream()
                        .map(report -> report.node() + " (" + report.version(service) + ")")
                        .collect(Collectors.joining(", ", "; behind: ", ""));
    }
}
