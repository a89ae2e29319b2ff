package org.carawaysill.load.command;

import org.carawaysill.load.fleet.FleetPlan;

/** Defaults shared by the sub-commands for fleets. Stateless and thread safe. */
final class FleetOptions {

    /** About 3,500 targets in 150 services. */
    static final int SERVICE_NODES = 23;

    private FleetOptions() {}

    static FleetPlan plan(int nodes, int serviceNodes) {
        try {
            return FleetPlan.of(nodes, serviceNodes);
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }
}
