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
 * Reads the operations of a service; reports repeated names and operations that never match because an earlier one
 * matches all their requests.
 *
 * <p>Not thread safe: one instance reads one document.
 */
final class OperationsReader {

    private static final int MAXIMUM_OPERATIONS = 1_000;
    private static final NameFormat<String> NAME = new NameFormat<>(text -> text);
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");

    private final DistinctValues<String> names;
    private final LabelsReader labels;
    private final OperationIndex index = new OperationIndex();

    OperationsReader(FaultCollector faults) {
        names = new DistinctValues<>("operation name", faults);
        labels = new LabelsReader(RequestLabels.OPERATION, faults);
    }

    List<Operation> read(TableReader document) {
        List<Operation> operations = new ArrayList<>();
        for (TableReader table : document.tables("operations", MAXIMUM_OPERATIONS)) {
            readOperation(table).ifPresent(operations::add);
        }
        return operations;
    }

    private Optional<Operation> readOperation(TableReader table) {
        Optional<Located<String>> name = table.requiredValue("name", NAME);
        Optional<Located<String>> method = table.requiredValue("method", OperationsReader::method);
        Optional<Located<PathPattern>> path = table.requiredValue("path", PathPattern::new);
        Labels read = labels.read(table);
        table.reportUnknownKeys();
        name.ifPresent(names::add);
        if (name.isEmpty() || method.isEmpty() || path.isEmpty()) {
            return Optional.empty();
        }
        PathPattern pattern = path.get().value();
        Operation operation = new Operation(name.get().value(), method.get().value(), pattern.text(), read);
        checkReachable(table, new CompiledOperation(operation, pattern, 0));
        return Optional.of(operation);
    }

    private static String method(String text) {
        if (!text.equals(CompiledOperation.ANY_METHOD) && !METHOD.matcher(text).matches()) {
            throw new IllegalArgumentException("expected an HTTP method in capitals or *, found \"" + text + '"');
        }
        return text;
    }

    private void checkReachable(TableReader table, CompiledOperation operation) {
        index.findCovering(operation)
                .ifPresent(covering -> table.fault(
                        "path",
                        "never matches, for operation " + covering.operation().name() + " takes all of its requests"));
        index.add(operation);
    }
}
