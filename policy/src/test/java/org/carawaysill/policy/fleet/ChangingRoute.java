package org.carawaysill.policy.fleet;

import java.util.List;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.policy.fleet.VirtualFleet.PlatformCopy;
import org.carawaysill.policy.fleet.VirtualFleet.Run;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;

/**
 * Nodes of two services in three availability zones, whose copies write heartbeats, and a route that alternates between
 * the services; the platform is restored from older states. Not thread safe.
 */
final class ChangingRoute {

    static final String PATH = "/entry/";
    static final String LEFT = "left";
    static final String RIGHT = "right";
    static final long HEARTBEAT = 1500 * VirtualFleet.MILLI;

    static final int ZONES = 3;
    private static final int SLOTS = 20;

    private final VirtualFleet fleet;
    private String service = LEFT;

    ChangingRoute(VirtualFleet fleet) {
        this.fleet = fleet;
    }

    VirtualNode add(String ofService, int zone, int host, long firstHeartbeat) {
        int inZone = zone % ZONES;
        VirtualNode node = fleet.add(ofService, "10." + inZone + ".0." + host, "zone-" + inZone, SLOTS);
        node.works.put(PATH, new Work(10 * VirtualFleet.MILLI, List.of()));
        fleet.at(fleet.now + firstHeartbeat, () -> beat(node));
        return node;
    }

    private void beat(VirtualNode node) {
        if (!fleet.platformDown) {
            node.heartbeat();
        }
        fleet.at(fleet.now + HEARTBEAT, () -> beat(node));
    }

    /** Returns the service that the route leads to in the newest configuration. */
    String service() {
        return service;
    }

    /** Returns the service of the copy that ran a request. */
    String serviceOf(Run run) {
        return fleet.nodes.get(run.copy().substring(0, run.copy().indexOf('#'))).service;
    }

    void configure() {
        fleet.configure(routes());
    }

    void change() {
        service = service.equals(LEFT) ? RIGHT : LEFT;
        configure();
    }

    /** Writes the newest version again. */
    void writeAgain() {
        fleet.configure(fleet.version(), routes());
    }

    /** Returns the alternating route, and one route to each service, so that both services are always configured. */
    private Route[] routes() {
        return new Route[] {
            Routes.route(PATH, service, true, 1, 900, 500),
            Routes.route("/left/", LEFT, true, 1, 900, 500),
            Routes.route("/right/", RIGHT, true, 1, 900, 500)
        };
    }

    /**
     * Makes the platform unavailable for a time; it is then restored from an older state.
     *
     * @param at when it becomes unavailable
     * @param age how old the restored state is at that moment
     * @param away how long it is unavailable
     * @param back runs right after its return
     */
    void returnOlder(long at, long age, long away, Runnable back) {
        PlatformCopy[] copy = new PlatformCopy[1];
        fleet.at(at - age, () -> copy[0] = fleet.copyOfPlatform());
        fleet.at(at, () -> fleet.platformDown = true);
        fleet.at(at + away, () -> {
            fleet.platformDown = false;
            fleet.restoreFrom(copy[0]);
            back.run();
        });
    }
}
