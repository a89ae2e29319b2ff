package org.carawaysill.load.fleet;

import java.util.List;

/**
 * The readings of all nodes and of the configuration stand-in at one time.
 *
 * <p>Immutable and thread safe.
 *
 * @param atNanos the monotonic time
 * @param nodes the readings of the nodes, in the order of the plan
 * @param reads the calls that the configuration stand-in has counted; a watch counts as one
 * @param watches how many of them were watches
 */
record FleetReading(long atNanos, List<NodeReading> nodes, long reads, long watches) {

    FleetReading {
        nodes = List.copyOf(nodes);
    }
}
