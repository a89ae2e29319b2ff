package org.carawaysill.model.document;

import java.util.Map;

/**
 * The line of each key of a document.
 *
 * <p>Immutable and thread safe.
 *
 * @param lines the line, from 1, by the path of the key
 */
record KeyLines(Map<String, Integer> lines) {

    private static final int FIRST_LINE = 1;

    /**
     * Finds the line of a key, or that of the nearest table or array around it.
     *
     * @param path the path of the key
     * @return the line, from 1
     */
    int line(String path) {
        String nearest = path;
        while (!nearest.isEmpty()) {
            Integer line = lines.get(nearest);
            if (line != null) {
                return line;
            }
            nearest = KeyPath.parent(nearest);
        }
        return FIRST_LINE;
    }
}
