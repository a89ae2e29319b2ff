package org.carawaysill.load.fleet;

import java.util.List;

/**
 * What all nodes and the configuration stand-in say at one moment.
 *
 * <p>Immutable and thread safe.
 *
 * @param atNanos the monotonic time
 * @param nodes the readings of the nodes, in the order of the plan
 * @param reads the calls that the configuration stand-in has counted, a watch as one
 * @param watches how many of them were watches
 */
record FleetReading(long atNanos, List<NodeReading> nodes, long reads, long watches) {

    FleetReading {
        nodes = List.copyOf(nodes);
    }
}
