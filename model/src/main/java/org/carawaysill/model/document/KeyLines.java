package org.carawaysill.model.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The line of a value and, below it, the lines of its fields or elements: a tree beside that of the values.
 *
 * <p>Not thread safe: {@link KeyLocator} fills it, then the readers of the same document only read it.
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

    /** Gives the lines of a field; those of an unlocated one are all that of the table around it. */
    KeyLines field(String key) {
        KeyLines field = fields.get(key);
        return field == null ? new KeyLines(line) : field;
    }

    /** Gives the lines of an element; those of an unlocated one are all that of the array around it. */
    KeyLines element(int index) {
        return index < elements.size() ? elements.get(index) : new KeyLines(line);
    }

    /** Adds a field; where it was added before, the first line counts. */
    KeyLines addField(String key, int fieldLine) {
        return fields.computeIfAbsent(key, added -> new KeyLines(fieldLine));
    }

    KeyLines addElement(int elementLine) {
        KeyLines element = new KeyLines(elementLine);
        elements.add(element);
        return element;
    }

    /** Gives the element that a header below an array of tables means, or this where there are none. */
    KeyLines newestElement() {
        return elements.isEmpty() ? this : elements.getLast();
    }
}
