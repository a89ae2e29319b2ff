package org.carawaysill.model.document;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds the line of each key of a TOML document that Jackson has accepted.
 *
 * <p>Jackson's TOML parser builds its whole tree before it returns a token and keeps no locations, so a second pass
 * that reads only keys and skips values finds the lines. A key that this pass does not recognise (one written with
 * escapes) gets the line of the surrounding table; only line numbers depend on this class.
 *
 * <p>Invariant: the position only increases, so that the pass terminates. Not thread safe: one instance reads one
 * document.
 */
final class KeyLocator {

    private static final String BARE_VALUE_ENDS = ",]}#\n";

    private final TextCursor cursor;
    private final KeyLines document = KeyLines.ofDocument();
    private int lastFieldLine = document.line();
    private String lastFieldKey = "";

    private KeyLocator(String text) {
        cursor = new TextCursor(text);
    }

    /**
     * Finds the lines of a document.
     *
     * @param text a document that is valid TOML
     * @return the lines of its keys
     */
    static KeyLines locate(String text) {
        KeyLocator locator = new KeyLocator(text);
        locator.readDocument();
        return locator.document;
    }

    /**
     * Finds the last field of a text.
     *
     * @param text a text that is valid TOML up to its end
     * @return the field's key as written, with its line
     */
    static Located<String> lastField(String text) {
        KeyLocator locator = new KeyLocator(text);
        locator.readDocument();
        return new Located<>(locator.lastFieldKey, locator.lastFieldLine, locator.lastFieldKey);
    }

    private void readDocument() {
        KeyLines table = document;
        cursor.skipBlanks();
        while (!cursor.atEnd()) {
            if (cursor.peek() == '[') {
                table = readHeader();
            } else {
                readField(table);
            }
            cursor.skipBlanks();
        }
    }

    private KeyLines readHeader() {
        int line = cursor.line();
        cursor.advance();
        boolean arrayOfTables = cursor.skipIf('[');
        List<String> keys = readKeys();
        cursor.skipLine();
        KeyLines parent = document;
        for (String key : keys.subList(0, keys.size() - 1)) {
            parent = parent.addField(key, line).lastElement();
        }
        KeyLines table = parent.addField(keys.getLast(), line);
        return arrayOfTables ? table.addElement(line) : table;
    }

    private void readField(KeyLines table) {
        int line = cursor.line();
        KeyLines field = table;
        List<String> keys = readKeys();
        for (String key : keys) {
            field = field.addField(key, line);
        }
        lastFieldLine = line;
        lastFieldKey = String.join(".", keys);
        cursor.skipPast('=');
        readValue(field);
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

    private void readValue(KeyLines value) {
        cursor.skipSpaces();
        switch (cursor.peek()) {
            case '[' -> readArray(value);
            case '{' -> readInlineTable(value);
            case '"', '\'' -> cursor.skipString();
            default -> cursor.skipUntilAny(BARE_VALUE_ENDS);
        }
    }

    private void readArray(KeyLines array) {
        cursor.advance();
        cursor.skipBlanks();
        while (!cursor.atEnd() && !cursor.skipIf(']')) {
            readValue(array.addElement(cursor.line()));
            cursor.skipSeparator();
        }
    }

    private void readInlineTable(KeyLines table) {
        cursor.advance();
        cursor.skipBlanks();
        while (!cursor.atEnd() && !cursor.skipIf('}')) {
            readField(table);
            cursor.skipSeparator();
        }
    }
}
