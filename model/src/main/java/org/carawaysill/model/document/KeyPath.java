package org.carawaysill.model.document;

/** Builds the paths of keys, such as {@code copies[0].slots}. Stateless and thread safe. */
final class KeyPath {

    /** The path of the document itself. */
    static final String ROOT = "";

    private KeyPath() {}

    static String child(String parent, String key) {
        String written = isBare(key) ? key : '"' + key + '"';
        return parent.isEmpty() ? written : parent + '.' + written;
    }

    static String element(String array, int index) {
        return array + '[' + index + ']';
    }

    private static boolean isBare(String key) {
        return !key.isEmpty() && key.chars().allMatch(KeyPath::isBareCharacter);
    }

    private static boolean isBareCharacter(int character) {
        return character == '_'
                || character == '-'
                || character >= '0' && character <= '9'
                || character >= 'A' && character <= 'Z'
                || character >= 'a' && character <= 'z';
    }
}
