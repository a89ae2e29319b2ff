package org.carawaysill.model.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Reads the fields of one table and collects what is wrong with them.
 *
 * <p>A field that is absent or faulty is read as empty; the fault is in the collector, and reading goes on. Invariant:
 * after {@link #reportUnknownKeys()} each key of the table was asked for or is reported. Not thread safe.
 */
public final class TableReader {

    private final JsonNode table;
    private final String path;
    private final DocumentReading reading;
    private final TreeSet<String> knownKeys = new TreeSet<>();

    TableReader(JsonNode table, String path, DocumentReading reading) {
        this.table = table;
        this.path = path;
        this.reading = reading;
    }

    /**
     * Reports a fault of the whole table.
     *
     * @param message what is wrong
     */
    public void fault(String message) {
        reading.fault(path, message);
    }

    /**
     * Reports a fault of a field.
     *
     * @param key the field's key
     * @param message what is wrong
     */
    public void fault(String key, String message) {
        reading.fault(KeyPath.child(path, key), message);
    }

    /**
     * Tells whether a field is there.
     *
     * @param key the field's key
     * @return true if it is, faulty or not
     */
    public boolean has(String key) {
        return table.has(key);
    }

    /**
     * Tells whether a field holds anything.
     *
     * @param key the field's key
     * @return true if it is a list with elements, or no list at all
     */
    public boolean hasElements(String key) {
        return table.has(key) && !(table.get(key).isArray() && table.get(key).isEmpty());
    }

    /**
     * Reads a text.
     *
     * @param key the field's key
     * @return the text, if the field is there and is a text
     */
    public Optional<Located<String>> text(String key) {
        return value(key, text -> text);
    }

    /**
     * Reads a whole number.
     *
     * @param key the field's key
     * @param minimum the least value
     * @param maximum the greatest value
     * @return the number, if the field is there and in range
     */
    public Optional<Integer> wholeNumber(String key, int minimum, int maximum) {
        Optional<JsonNode> node = field(key);
        if (node.isEmpty()) {
            return Optional.empty();
        }
        JsonNode value = node.get();
        if (!value.isIntegralNumber()
                || !value.canConvertToInt()
                || value.intValue() < minimum
                || value.intValue() > maximum) {
            fault(key, "expected a whole number from " + minimum + " to " + maximum + ", found " + value);
            return Optional.empty();
        }
        return Optional.of(value.intValue());
    }

    /**
     * Reads a number.
     *
     * @param key the field's key
     * @param minimum the least value
     * @param maximum the greatest value
     * @return the number, if the field is there and in range
     */
    public Optional<Double> number(String key, double minimum, double maximum) {
        Optional<JsonNode> node = field(key);
        if (node.isEmpty()) {
            return Optional.empty();
        }
        double value = node.get().asDouble(Double.NaN);
        boolean inRange = node.get().isNumber() && value >= minimum && value <= maximum;
        if (!inRange) {
            fault(key, "expected a number from " + minimum + " to " + maximum + ", found " + node.get());
            return Optional.empty();
        }
        return Optional.of(value);
    }

    /**
     * Reads {@code true} or {@code false}.
     *
     * @param key the field's key
     * @return the value, if the field is there and is one of the two
     */
    public Optional<Boolean> truth(String key) {
        Optional<JsonNode> node = field(key);
        if (node.isPresent() && !node.get().isBoolean()) {
            fault(key, "expected true or false, found " + node.get());
            return Optional.empty();
        }
        return node.map(JsonNode::booleanValue);
    }

    /**
     * Reads a text of a format.
     *
     * @param key the field's key
     * @param format the format
     * @param <T> the type of the value
     * @return the value, if the field is there and is of the format
     */
    public <T> Optional<Located<T>> value(String key, TextFormat<T> format) {
        return field(key).flatMap(node -> formatted(node, KeyPath.child(path, key), format));
    }

    /**
     * Reads a list of texts of a format.
     *
     * @param key the field's key
     * @param format the format
     * @param <T> the type of the values
     * @return the values that are of the format, in order; empty where the field is absent
     */
    public <T> List<Located<T>> values(String key, TextFormat<T> format) {
        List<Located<T>> values = new ArrayList<>();
        String array = KeyPath.child(path, key);
        List<JsonNode> elements = elements(key, "expected a list of texts");
        for (int i = 0; i < elements.size(); i++) {
            formatted(elements.get(i), KeyPath.element(array, i), format).ifPresent(values::add);
        }
        return values;
    }

    /**
     * Reads a table of texts.
     *
     * @param key the field's key
     * @return the texts by key, in order; empty where the field is absent
     */
    public Map<String, Located<String>> textTable(String key) {
        Map<String, Located<String>> texts = new LinkedHashMap<>();
        Optional<TableReader> inner = table(key);
        inner.ifPresent(reader -> reader.table
                .fieldNames()
                .forEachRemaining(name -> reader.text(name).ifPresent(text -> texts.put(name, text))));
        return texts;
    }

    /**
     * Reads a table.
     *
     * @param key the field's key
     * @return its reader, if the field is there and is a table
     */
    public Optional<TableReader> table(String key) {
        Optional<JsonNode> node = field(key);
        if (node.isPresent() && !node.get().isObject()) {
            fault(key, "expected a table");
            return Optional.empty();
        }
        return node.map(value -> new TableReader(value, KeyPath.child(path, key), reading));
    }

    /**
     * Reads an array of tables.
     *
     * @param key the field's key
     * @return a reader for each element that is a table; empty where the field is absent
     */
    public List<TableReader> tables(String key) {
        List<TableReader> readers = new ArrayList<>();
        List<JsonNode> elements = elements(key, "expected tables, each headed [[" + KeyPath.child(path, key) + "]]");
        for (int i = 0; i < elements.size(); i++) {
            String element = KeyPath.element(KeyPath.child(path, key), i);
            if (elements.get(i).isObject()) {
                readers.add(new TableReader(elements.get(i), element, reading));
            } else {
                reading.fault(element, "expected a table");
            }
        }
        return readers;
    }

    /**
     * Reads a text of a format that must be there.
     *
     * @param key the field's key
     * @param format the format
     * @param <T> the type of the value
     * @return the value, if the field is there and is of the format
     */
    public <T> Optional<Located<T>> requiredValue(String key, TextFormat<T> format) {
        reportIfMissing(key);
        return value(key, format);
    }

    /**
     * Reads a table that must be there.
     *
     * @param key the field's key
     * @return its reader; one of an empty table where the field is absent or no table
     */
    public TableReader requiredTable(String key) {
        return table(key).orElseGet(() -> emptyTable(key));
    }

    /**
     * Reports a field that must be there and isn't.
     *
     * @param key the field's key
     */
    public void reportIfMissing(String key) {
        if (!table.has(key)) {
            reading.fault(path, "missing key: " + KeyPath.child(path, key));
        }
    }

    /** Reports each key that was not asked for. */
    public void reportUnknownKeys() {
        table.fieldNames().forEachRemaining(key -> {
            if (!knownKeys.contains(key)) {
                fault(key, "unknown key; known here: " + String.join(", ", knownKeys));
            }
        });
    }

    private List<JsonNode> elements(String key, String expected) {
        Optional<JsonNode> node = field(key);
        if (node.isPresent() && !node.get().isArray()) {
            fault(key, expected);
            return List.of();
        }
        List<JsonNode> elements = new ArrayList<>();
        node.ifPresent(array -> array.forEach(elements::add));
        return elements;
    }

    private <T> Optional<Located<T>> formatted(JsonNode node, String valuePath, TextFormat<T> format) {
        if (!node.isTextual()) {
            reading.fault(valuePath, "expected a text in quotes, found " + node);
            return Optional.empty();
        }
        try {
            T value = format.parse(node.textValue());
            return Optional.of(new Located<>(value, reading.lines().line(valuePath), valuePath));
        } catch (IllegalArgumentException e) {
            reading.fault(valuePath, e.getMessage());
            return Optional.empty();
        }
    }

    private TableReader emptyTable(String key) {
        JsonNode empty = JsonNodeFactory.instance.objectNode();
        return new TableReader(empty, KeyPath.child(path, key), reading);
    }

    private Optional<JsonNode> field(String key) {
        knownKeys.add(key);
        return Optional.ofNullable(table.get(key));
    }
}
