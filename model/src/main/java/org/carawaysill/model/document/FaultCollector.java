package org.carawaysill.model.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Collects the faults of one document while it is read.
 *
 * <p>Not thread safe: used by the one thread that reads the document.
 */
public final class FaultCollector {

    private final List<Fault> faults = new ArrayList<>();

    /**
     * Adds a fault.
     *
     * @param line the line, from 1
     * @param key the path of the key
     * @param message what is wrong
     */
    public void add(int line, String key, String message) {
        add(new Fault(line, key, message));
    }

    /**
     * Adds a fault.
     *
     * @param fault the fault
     */
    public void add(Fault fault) {
        faults.add(fault);
    }

    /**
     * Returns whether no fault has been found so far.
     *
     * @return true if no fault was added
     */
    public boolean isEmpty() {
        return faults.isEmpty();
    }

    /**
     * Lists the faults.
     *
     * @return every fault, ordered by line; faults of the same line are in the order in which they were found
     */
    public List<Fault> inOrder() {
        return faults.stream().sorted(Comparator.comparingInt(Fault::line)).toList();
    }
}
