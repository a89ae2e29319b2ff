package org.carawaysill.model.document;

import java.util.regex.Pattern;

/** Writes the paths of keys, such as {@code copies[0].slots}. Stateless and thread safe. */
final class KeyPath {

    /** The path of the document itself. */
    static final String ROOT = "";

    private static final Pattern BARE_KEY = Pattern.compile("[A-Za-z0-9_-]+");

    private KeyPath() {}

    static String child(String parent, String key) {
        String written = BARE_KEY.matcher(key).matches() ? key : '"' + key + '"';
        return parent.isEmpty() ? written : parent + '.' + written;
    }

    static String element(String array, int index) {
        return array + '[' + index + ']';
    }

    /** Gives the path of the table or array that holds a value; the root for a top-level key. */
    static String parent(String path) {
        boolean quoted = false;
        for (int i = path.length() - 1; i >= 0; i--) {
            char character = path.charAt(i);
            if (character == '"') {
                quoted = !quoted;
            } else if (!quoted && (character == '.' || character == '[')) {
                return path.substring(0, i);
            }
        }
        return ROOT;
    }
}
