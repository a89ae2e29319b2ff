package org.carawaysill.model.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the line of each key of a TOML document that Jackson has accepted.
 *
 * <p>Jackson's TOML parser builds its whole tree before it hands out a token and keeps no locations, so the lines are
 * found by a second pass that reads only keys and skips values. A key that this pass doesn't recognise (one written with
 * escapes) gets the line of the table around it; nothing but line numbers depends on this class.
 *
 * <p>Invariant: the position only rises, so that the pass ends. Not thread safe: one instance reads one document.
 */
final class KeyLocator {

    private static final String BARE_VALUE_ENDS = ",]}#\n";

    private final TextCursor cursor;
    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Integer> tablesInArray = new HashMap<>();

    private KeyLocator(String text) {
        cursor = new TextCursor(text);
    }

    /**
     * Finds the lines of a document.
     *
     * @param text a document that is valid TOML
     * @return the line of each key
     */
    static KeyLines locate(String text) {
        KeyLocator locator = new KeyLocator(text);
        locator.readDocument();
        return new KeyLines(locator.lines);
    }

    private void readDocument() {
        String table = KeyPath.ROOT;
        cursor.skipBlank();
        while (!cursor.atEnd()) {
            if (cursor.peek() == '[') {
                table = readHeader();
            } else {
                readField(table);
            }
            cursor.skipBlank();
        }
    }

    private String readHeader() {
        int line = cursor.line();
        cursor.advance();
        boolean arrayElement = cursor.peek() == '[';
        if (arrayElement) {
            cursor.advance();
        }
        List<String> keys = readKeys();
        cursor.skipLine();
        String path = KeyPath.ROOT;
        for (String key : keys.subList(0, keys.size() - 1)) {
            path = newestElement(KeyPath.child(path, key));
        }
        path = KeyPath.child(path, keys.getLast());
        if (arrayElement) {
            lines.putIfAbsent(path, line);
            tablesInArray.merge(path, 1, Integer::sum);
            path = newestElement(path);
        }
        lines.put(path, line);
        return path;
    }

    private String newestElement(String path) {
        Integer count = tablesInArray.get(path);
        return count == null ? path : KeyPath.element(path, count - 1);
    }

    private void readField(String table) {
        int line = cursor.line();
        String path = table;
        for (String key : readKeys()) {
            path = KeyPath.child(path, key);
            lines.putIfAbsent(path, line);
        }
        cursor.skipPast('=');
        readValue(path);
    }

    private List<String> readKeys() {
        List<String> keys = new ArrayList<>();
        do {
            cursor.skipSpaces();
            keys.add(cursor.readKey());
            cursor.skipSpaces();
        } while (cursor.skipIf('.'));
        return keys;
    }

    private void readValue(String path) {
        cursor.skipSpaces();
        switch (cursor.peek()) {
            case '[' -> readArray(path);
            case '{' -> readInlineTable(path);
            case '"', '\'' -> cursor.skipString();
            default -> cursor.skipUntilAny(BARE_VALUE_ENDS);
        }
    }

    private void readArray(String path) {
        cursor.advance();
        cursor.skipBlank();
        for (int i = 0; !cursor.atEnd() && !cursor.skipIf(']'); i++) {
            String element = KeyPath.element(path, i);
            lines.put(element, cursor.line());
            readValue(element);
            cursor.skipBlank();
            cursor.skipIf(',');
            cursor.skipBlank();
        }
    }

    private void readInlineTable(String path) {
        cursor.advance();
        cursor.skipBlank();
        while (!cursor.atEnd() && !cursor.skipIf('}')) {
            readField(path);
            cursor.skipBlank();
            cursor.skipIf(',');
            cursor.skipBlank();
        }
    }
}
