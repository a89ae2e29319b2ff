package org.carawaysill.model.configuration;

/**
 * A pattern for a label's value, in which each {@code *} matches any text, including none.
 *
 * <p>Immutable and thread safe. Matching takes time proportional to the value's length times the number of stars.
 */
final class LabelPattern {

    private static final char STAR = '*';

    private final String pattern;
    private final String[] parts;

    LabelPattern(String pattern) {
        this.pattern = pattern;
        this.parts = pattern.split("\\*", -1);
    }

    boolean matches(String value) {
        if (parts.length == 1) {
            return pattern.equals(value);
        }
        String first = parts[0];
        String last = parts[parts.length - 1];
        if (value.length() < first.length() + last.length() || !value.startsWith(first) || !value.endsWith(last)) {
            return false;
        }
        return middleMatches(value.substring(first.length(), value.length() - last.length()));
    }

    /** Matches each part between two stars at its leftmost position, which leaves the most text for the next part. */
    private boolean middleMatches(String middle) {
        int position = 0;
        for (int i = 1; i < parts.length - 1; i++) {
            int found = middle.indexOf(parts[i], position);
            if (found < 0) {
                return false;
            }
            position = found + parts[i].length();
        }
        return true;
    }

    static boolean isLiteral(String pattern) {
        return pattern.indexOf(STAR) < 0;
    }
}
