package org.carawaysill.model.document;

/**
 * A cursor in a text that tracks its line number.
 *
 * <p>Invariant: the position only increases and never passes the end. Not thread safe.
 */
final class TextCursor {

    private static final char END = '\0';
    private static final int TRIPLE_QUOTE_LENGTH = 3;

    private final String text;
    private int position;
    private int line = 1;

    TextCursor(String text) {
        this.text = text;
    }

    int line() {
        return line;
    }

    boolean atEnd() {
        return position >= text.length();
    }

    char peek() {
        return atEnd() ? END : text.charAt(position);
    }

    void advance() {
        if (peek() == '\n') {
            line++;
        }
        position = Math.min(position + 1, text.length());
    }

    boolean skipIf(char expected) {
        boolean found = peek() == expected && !atEnd();
        if (found) {
            advance();
        }
        return found;
    }

    void skipPast(char expected) {
        while (!atEnd() && !skipIf(expected)) {
            advance();
        }
    }

    void skipUntilAny(String ends) {
        while (!atEnd() && ends.indexOf(peek()) < 0) {
            advance();
        }
    }

    void skipLine() {
        skipPast('\n');
    }

    void skipSpaces() {
        while (peek() == ' ' || peek() == '\t') {
            advance();
        }
    }

    /** Skips white space, line breaks and comments. */
    void skipBlanks() {
        while (!atEnd()) {
            if (peek() == '#') {
                skipLine();
            } else if (Character.isWhitespace(peek())) {
                advance();
            } else {
                return;
            }
        }
    }

    /** Skips the separator between two elements: white space, comments and a comma. */
    void skipSeparator() {
        skipBlanks();
        skipIf(',');
        skipBlanks();
    }

    /** Reads one part of a key, bare or quoted; always advances. */
    String readKey() {
        char quote = peek();
        if (quote == '"' || quote == '\'') {
            int start = position + 1;
            skipQuoted(quote);
            return text.substring(start, Math.max(start, position - 1));
        }
        int start = position;
        advance();
        skipUntilAny(" \t.=]\n");
        return text.substring(start, position);
    }

    /** Skips a string in any of the four forms of TOML. */
    void skipString() {
        char quote = peek();
        String delimiter = String.valueOf(quote).repeat(TRIPLE_QUOTE_LENGTH);
        if (text.startsWith(delimiter, position)) {
            skipTripleQuoted(quote, delimiter);
        } else {
            skipQuoted(quote);
        }
    }

    private void skipQuoted(char quote) {
        advance();
        while (!atEnd() && peek() != quote) {
            skipCharacter(quote);
        }
        advance();
    }

    private void skipTripleQuoted(char quote, String delimiter) {
        position += TRIPLE_QUOTE_LENGTH;
        while (!atEnd() && !text.startsWith(delimiter, position)) {
            skipCharacter(quote);
        }
        while (peek() == quote) {
            advance();
        }
    }

    private void skipCharacter(char quote) {
        if (quote == '"' && peek() == '\\') {
            advance();
        }
        advance();
    }
}
