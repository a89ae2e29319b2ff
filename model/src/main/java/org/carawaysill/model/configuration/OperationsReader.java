package org.carawaysill.model.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.carawaysill.model.document.DistinctValues;
import org.carawaysill.model.document.FaultCollector;
import org.carawaysill.model.document.Located;
import org.carawaysill.model.document.NameFormat;
import org.carawaysill.model.document.TableReader;

/**
 * Reads the operations of a service: each with its own name, and none that an earlier one leaves nothing to match.
 *
 * <p>Not thread safe: one instance reads one document.
 */
final class OperationsReader {

    static final String ANY_METHOD = "*";
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");

    private final DistinctValues<String> names;
    private final LabelsReader labels;
    private final List<ReadOperation> earlier = new ArrayList<>();

    OperationsReader(FaultCollector faults) {
        names = new DistinctValues<>("operation name", faults);
        labels = new LabelsReader(RequestLabels.OPERATION, faults);
    }

    List<Operation> read(TableReader document) {
        List<Operation> operations = new ArrayList<>();
        for (TableReader table : document.tables("operations")) {
            readOperation(table).ifPresent(operations::add);
        }
        return operations;
    }

    private Optional<Operation> readOperation(TableReader table) {
        Optional<Located<String>> name = table.requiredValue("name", new NameFormat<>(text -> text));
        Optional<Located<String>> method = table.requiredValue("method", OperationsReader::method);
        Optional<Located<ReadPath>> path = table.requiredValue("path", ReadPath::parse);
        Labels read = labels.read(table);
        table.reportUnknownKeys();
        name.ifPresent(names::add);
        if (method.isPresent() && path.isPresent()) {
            checkReachable(table, new ReadOperation(method.get().value(), path.get()));
        }
        if (name.isEmpty() || method.isEmpty() || path.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Operation(
                name.get().value(), method.get().value(), path.get().value().text(), read));
    }

    private static String method(String text) {
        if (!text.equals(ANY_METHOD) && !METHOD.matcher(text).matches()) {
            throw new IllegalArgumentException("expected an HTTP method in capitals or *, found \"" + text + '"');
        }
        return text;
    }

    private void checkReachable(TableReader table, ReadOperation operation) {
        earlier.stream()
                .filter(other -> other.covers(operation))
                .findFirst()
                .ifPresent(other -> table.fault(
                        "path",
                        "never matches, for the operation at line " + other.path.line()
                                + " matches all of its requests first"));
        earlier.add(operation);
    }

    /** A path as written and as compiled. */
    private record ReadPath(String text, PathPattern pattern) {

        private static ReadPath parse(String text) {
            return new ReadPath(text, new PathPattern(text));
        }
    }

    /** What decides which requests an operation matches. */
    private record ReadOperation(String method, Located<ReadPath> path) {

        private boolean covers(ReadOperation other) {
            boolean methodCovered = method.equals(ANY_METHOD) || method.equals(other.method);
            return methodCovered && path.value().pattern.covers(other.path.value().pattern);
        }
    }
}
