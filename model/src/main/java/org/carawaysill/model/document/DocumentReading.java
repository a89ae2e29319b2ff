package org.carawaysill.model.document;

/**
 * What the readers of one document's tables share.
 *
 * <p>Not thread safe, as its collector isn't.
 *
 * @param lines the line of each key
 * @param faults receives the faults
 */
record DocumentReading(KeyLines lines, FaultCollector faults) {

    void fault(String path, String message) {
        faults.add(lines.line(path), path, message);
    }
}
