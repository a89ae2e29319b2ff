package org.carawaysill.model.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads the fields of one table and collects their faults.
 *
 * <p>An absent or faulty field is read as empty; its fault is added to the collector, and reading continues. Invariant:
 * after {@link #reportUnknownKeys()} each key of the table has been requested or reported. Not thread safe.
 */
public final class TableReader {

    private final LocatedNode table;
    private final FaultCollector faults;
    private final Set<String> knownKeys = new HashSet<>();

    TableReader(LocatedNode table, FaultCollector faults) {
        this.table = table;
        this.faults = faults;
    }

    /**
     * Reports a fault of the whole table.
     *
     * @param message what is wrong
     */
    public void fault(String message) {
        fault(table, message);
    }

    /**
     * Reports a fault of a field.
     *
     * @param key the field's key
     * @param message what is wrong
     */
    public void fault(String key, String message) {
        fault(table.field(key), message);
    }

    /**
     * Returns whether a field exists.
     *
     * @param key the field's key
     * @return true if it exists, faulty or not
     */
    public boolean has(String key) {
        return table.node().has(key);
    }

    /**
     * Reads a string in a given format.
     *
     * @param key the field's key
     * @param format the format
     * @param <T> the type of the value
     * @return the value, if the field exists and has the format
     */
    public <T> Optional<Located<T>> value(String key, TextFormat<T> format) {
        return field(key).flatMap(field -> formatted(field, format));
    }

    /**
     * Reads a required string in a given format.
     *
     * @param key the field's key
     * @param format the format
     * @param <T> the type of the value
     * @return the value, if the field exists and has the format
     */
    public <T> Optional<Located<T>> requiredValue(String key, TextFormat<T> format) {
        reportIfMissing(key);
        return value(key, format);
    }

    /**
     * Reads a list of strings in a given format.
     *
     * @param key the field's key
     * @param format the format
     * @param <T> the type of the values
     * @return the values that have the format, in order; empty if the field is absent
     */
    public <T> List<Located<T>> values(String key, TextFormat<T> format) {
        List<Located<T>> values = new ArrayList<>();
        for (LocatedNode element : elements(key, "expected a list of texts")) {
            formatted(element, format).ifPresent(values::add);
        }
        return values;
    }

    /**
     * Reads a whole number.
     *
     * @param key the field's key
     * @param minimum the least value
     * @param maximum the greatest value
     * @return the number, if the field exists and is in range
     */
    public Optional<Integer> wholeNumber(String key, int minimum, int maximum) {
        Optional<LocatedNode> field = field(key);
        Optional<Integer> number = field.map(LocatedNode::node)
                .filter(node -> node.isIntegralNumber() && node.canConvertToInt())
                .map(JsonNode::intValue)
                .filter(value -> value >= minimum && value <= maximum);
        if (field.isPresent() && number.isEmpty()) {
            unexpectedValue(field.get(), "expected a whole number from " + minimum + " to " + maximum);
        }
        return number;
    }

    /**
     * Reads a number.
     *
     * @param key the field's key
     * @param minimum the least value
     * @param maximum the greatest value
     * @return the number, if the field exists and is in range
     */
    public Optional<Double> number(String key, double minimum, double maximum) {
        Optional<LocatedNode> field = field(key);
        Optional<Double> number = field.map(LocatedNode::node)
                .filter(JsonNode::isNumber)
                .map(JsonNode::doubleValue)
                .filter(value -> value >= minimum && value <= maximum);
        if (field.isPresent() && number.isEmpty()) {
            unexpectedValue(field.get(), "expected a number from " + minimum + " to " + maximum);
        }
        return number;
    }

    /**
     * Reads a boolean.
     *
     * @param key the field's key
     * @return the value, if the field exists and is a boolean
     */
    public Optional<Boolean> booleanValue(String key) {
        Optional<LocatedNode> field = field(key);
        Optional<Boolean> truth =
                field.map(LocatedNode::node).filter(JsonNode::isBoolean).map(JsonNode::booleanValue);
        if (field.isPresent() && truth.isEmpty()) {
            unexpectedValue(field.get(), "expected true or false");
        }
        return truth;
    }

    /**
     * Reads a table of strings.
     *
     * @param key the field's key
     * @return the strings by key, in order; empty if the field is absent
     */
    public Map<String, Located<String>> textTable(String key) {
        Map<String, Located<String>> texts = new LinkedHashMap<>();
        Optional<TableReader> inner = table(key);
        inner.ifPresent(reader -> reader.keys()
                .forEach(name -> reader.value(name, text -> text).ifPresent(text -> texts.put(name, text))));
        return texts;
    }

    /**
     * Reads a table.
     *
     * @param key the field's key
     * @return its reader, if the field exists and is a table
     */
    public Optional<TableReader> table(String key) {
        return field(key).flatMap(this::asTable);
    }

    /**
     * Reads a required table.
     *
     * @param key the field's key
     * @return its reader, or a reader of an empty table if the field is absent or not a table
     */
    public TableReader requiredTable(String key) {
        return table(key).orElseGet(() -> emptyTable(table.field(key)));
    }

    /**
     * Reads an array of tables.
     *
     * @param key the field's key
     * @param maximum the maximum number of elements
     * @return a reader for each element that is a table; empty if the field is absent
     */
    public List<TableReader> tables(String key, int maximum) {
        List<LocatedNode> elements = elements(key, "expected tables, each headed [[" + key + "]]");
        if (elements.size() > maximum) {
            fault(key, "expected at most " + maximum + ", found " + elements.size());
            return List.of();
        }
        return elements.stream().map(this::asTable).flatMap(Optional::stream).toList();
    }

    /**
     * Reports a required field if it is missing.
     *
     * @param key the field's key
     */
    public void reportIfMissing(String key) {
        if (!has(key)) {
            fault("missing key: " + table.field(key).path());
        }
    }

    /** Reports each key that was not requested. */
    public void reportUnknownKeys() {
        for (String key : keys()) {
            if (!knownKeys.contains(key)) {
                fault(key, "unknown key; known here: " + String.join(", ", new TreeSet<>(knownKeys)));
            }
        }
    }

    private List<String> keys() {
        List<String> keys = new ArrayList<>();
        table.node().fieldNames().forEachRemaining(keys::add);
        return keys;
    }

    private Optional<LocatedNode> field(String key) {
        knownKeys.add(key);
        return has(key) ? Optional.of(table.field(key)) : Optional.empty();
    }

    private List<LocatedNode> elements(String key, String expected) {
        Optional<LocatedNode> field = field(key);
        if (field.isPresent() && !field.get().node().isArray()) {
            fault(field.get(), expected);
            return List.of();
        }
        return field.map(LocatedNode::elements).orElse(List.of());
    }

    private Optional<TableReader> asTable(LocatedNode value) {
        if (!value.node().isObject()) {
            unexpectedValue(value, "expected a table");
            return Optional.empty();
        }
        return Optional.of(new TableReader(value, faults));
    }

    private TableReader emptyTable(LocatedNode place) {
        JsonNode empty = JsonNodeFactory.instance.objectNode();
        return new TableReader(new LocatedNode(empty, place.lines(), place.path()), faults);
    }

    private <T> Optional<Located<T>> formatted(LocatedNode value, TextFormat<T> format) {
        if (!value.node().isTextual()) {
            unexpectedValue(value, "expected a text in quotes");
            return Optional.empty();
        }
        try {
            T parsed = format.parse(value.node().textValue());
            return Optional.of(new Located<>(parsed, value.lines().line(), value.path()));
        } catch (IllegalArgumentException e) {
            fault(value, e.getMessage());
            return Optional.empty();
        }
    }

    private void unexpectedValue(LocatedNode value, String expected) {
        fault(value, expected + ", found " + value.abbreviatedText());
    }

    private void fault(LocatedNode value, String message) {
        faults.add(value.lines().line(), value.path(), message);
    }
}
