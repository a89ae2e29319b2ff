package org.carawaysill.model.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.carawaysill.model.document.DistinctValues;
import org.carawaysill.model.document.FaultCollector;
import org.carawaysill.model.document.Located;
import org.carawaysill.model.document.TableReader;

/**
 * Reads the selectors of a service and reports those that can never match.
 *
 * <p>Not thread safe: one instance reads one document.
 */
final class SelectorsReader {

    private static final int MAXIMUM_SELECTORS = 1_000;
    private static final int MAXIMUM_NAME_LENGTH = 100;
    private static final String ANONYMOUS = "anonymous";

    private final FaultCollector faults;
    private final DistinctValues<String> names;
    private final List<Map<String, String>> requests;
    private final List<Map<String, String>> callers;
    private final Set<String> knownKeys = new TreeSet<>();

    /**
     * Creates a reader.
     *
     * @param faults receives the faults
     * @param service the labels of the service
     * @param operations the operations that were read
     * @param known the callers that were read
     */
    SelectorsReader(
            FaultCollector faults, Map<String, String> service, List<Operation> operations, List<CallerEntry> known) {
        this.faults = faults;
        names = new DistinctValues<>("selector name", faults);
        requests = operations.stream().map(RequestLabels::ofOperation).toList();
        callers = new ArrayList<>(known.stream().map(RequestLabels::ofCaller).toList());
        callers.add(Map.of(RequestLabels.CALLER + RequestLabels.NAME, ANONYMOUS));
        knownKeys.addAll(service.keySet());
        requests.forEach(labels -> knownKeys.addAll(labels.keySet()));
        callers.forEach(labels -> knownKeys.addAll(labels.keySet()));
    }

    List<Selector> read(TableReader document) {
        List<Selector> selectors = new ArrayList<>();
        for (TableReader table : document.tables("selectors", MAXIMUM_SELECTORS)) {
            selectors.add(readSelector(table));
        }
        return selectors;
    }

    private Selector readSelector(TableReader table) {
        Optional<Located<String>> name = table.requiredValue("name", SelectorsReader::name);
        name.ifPresent(names::add);
        Map<String, Located<String>> match = table.textTable("match");
        Selector selector = TermsReader.selector(table, name.map(Located::value).orElse(""), values(match));
        if (TermsReader.statesNoTerm(table)) {
            table.fault("states no term: give importance, idempotent, retry-credits or deadline");
        }
        table.reportUnknownKeys();
        if (keysAreKnown(match)) {
            checkCanMatch(table, CompiledSelector.compile(selector));
        }
        return selector;
    }

    private static String name(String text) {
        if (text.isBlank() || text.length() > MAXIMUM_NAME_LENGTH) {
            throw new IllegalArgumentException(
                    "a selector's name must have 1 to " + MAXIMUM_NAME_LENGTH + " characters");
        }
        return text;
    }

    private static Map<String, String> values(Map<String, Located<String>> match) {
        Map<String, String> values = new HashMap<>();
        match.forEach((key, value) -> values.put(key, value.value()));
        return values;
    }

    private boolean keysAreKnown(Map<String, Located<String>> match) {
        boolean known = true;
        for (Map.Entry<String, Located<String>> entry : match.entrySet()) {
            if (!knownKeys.contains(entry.getKey())) {
                String message =
                        "never matches, for nothing has this label; known here: " + String.join(", ", knownKeys);
                faults.add(entry.getValue().line(), entry.getValue().key(), message);
                known = false;
            }
        }
        return known;
    }

    /**
     * Reports a selector that can never match. The values of the service's labels are not checked, so that several
     * services can share one list of selectors.
     */
    private void checkCanMatch(TableReader table, CompiledSelector selector) {
        if (!selector.request().isEmpty() && requests.stream().noneMatch(selector::matchesRequest)) {
            table.fault("match", "never matches, for no operation has all of these request labels");
        }
        if (callers.stream().noneMatch(selector::matchesCaller)) {
            table.fault("match", "never matches, for no caller has all of these caller labels");
        }
    }
}
