package org.carawaysill.model.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The line of a value and the lines of its fields or elements: a tree parallel to that of the values.
 *
 * <p>Not thread safe: {@link KeyLocator} fills it; afterwards it is only read.
 */
final class KeyLines {

    private static final int FIRST_LINE = 1;

    private final int line;
    private final Map<String, KeyLines> fields = new HashMap<>();
    private final List<KeyLines> elements = new ArrayList<>();

    private KeyLines(int line) {
        this.line = line;
    }

    static KeyLines ofDocument() {
        return new KeyLines(FIRST_LINE);
    }

    int line() {
        return line;
    }

    /** Returns the lines of a field; a field that was not located has the line of its table. */
    KeyLines field(String key) {
        KeyLines field = fields.get(key);
        return field == null ? new KeyLines(line) : field;
    }

    /** Returns the lines of an element; an element that was not located has the line of its array. */
    KeyLines element(int index) {
        return index < elements.size() ? elements.get(index) : new KeyLines(line);
    }

    /** Adds a field; if it was added before, it keeps its first line. */
    KeyLines addField(String key, int fieldLine) {
        return fields.computeIfAbsent(key, added -> new KeyLines(fieldLine));
    }

    KeyLines addElement(int elementLine) {
        KeyLines element = new KeyLines(elementLine);
        elements.add(element);
        return element;
    }

    /**
     * Returns the last element, to which a header below an array of tables refers, or this if there are no elements.
     */
    KeyLines lastElement() {
        return elements.isEmpty() ? this : elements.getLast();
    }
}
