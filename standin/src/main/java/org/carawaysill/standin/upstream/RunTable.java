package org.carawaysill.standin.upstream;

import java.util.Arrays;

/**
 * Counts runs by trace identifier and operation, in primitive arrays.
 *
 * <p>Invariants: entries are in the order of their first runs; the table never exceeds its capacity: when it is full,
 * new pairs are not added, while existing pairs are still counted. Not thread safe: used on the event loop only.
 */
final class RunTable {

    private static final int FIRST_ENTRIES = 1024;
    private static final int EMPTY = -1;

    private final int capacity;
    private long[] highs = new long[FIRST_ENTRIES];
    private long[] lows = new long[FIRST_ENTRIES];
    private int[] operations = new int[FIRST_ENTRIES];
    private int[] counts = new int[FIRST_ENTRIES];
    private int[] places = emptyPlaces(FIRST_ENTRIES);
    private int size;

    RunTable(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Counts a run.
     *
     * @param trace the trace identifier
     * @param operation the operation's index in the graph
     * @return how often the pair has run, this run included; 0 if it is new and the table is full
     */
    int count(TraceIdentifier trace, int operation) {
        int place = place(trace.high(), trace.low(), operation);
        if (places[place] != EMPTY) {
            return ++counts[places[place]];
        }
        if (size == capacity) {
            return 0;
        }
        add(place, trace, operation);
        return 1;
    }

    int size() {
        return size;
    }

    TraceIdentifier trace(int entry) {
        return new TraceIdentifier(highs[entry], lows[entry]);
    }

    int operation(int entry) {
        return operations[entry];
    }

    int runs(int entry) {
        return counts[entry];
    }

    private void add(int place, TraceIdentifier trace, int operation) {
        highs[size] = trace.high();
        lows[size] = trace.low();
        operations[size] = operation;
        counts[size] = 1;
        places[place] = size;
        size++;
        if (size == highs.length) {
            grow();
        }
    }

    private void grow() {
        int entries = size * 2;
        highs = Arrays.copyOf(highs, entries);
        lows = Arrays.copyOf(lows, entries);
        operations = Arrays.copyOf(operations, entries);
        counts = Arrays.copyOf(counts, entries);
        places = emptyPlaces(entries);
        for (int i = 0; i < size; i++) {
            places[place(highs[i], lows[i], operations[i])] = i;
        }
    }

    /** Finds the hash position of a pair: the one that holds its entry's index, or the empty one where it belongs. */
    private int place(long high, long low, int operation) {
        long hash = (high ^ Long.rotateLeft(low, Integer.SIZE) ^ operation) * 0x9E3779B97F4A7C15L;
        int place = (int) (hash >>> Integer.SIZE) & places.length - 1;
        while (places[place] != EMPTY && !isEntry(places[place], high, low, operation)) {
            place = place + 1 & places.length - 1;
        }
        return place;
    }

    private boolean isEntry(int entry, long high, long low, int operation) {
        return highs[entry] == high && lows[entry] == low && operations[entry] == operation;
    }

    private static int[] emptyPlaces(int entries) {
        int[] places = new int[entries * 2];
        Arrays.fill(places, EMPTY);
        return places;
    }
}
