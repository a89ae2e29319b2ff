package org.carawaysill.policy.fleet;

import java.util.List;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.policy.fleet.VirtualFleet.PlatformCopy;
import org.carawaysill.policy.fleet.VirtualFleet.Run;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;

/**
 * Nodes of two services in three availability zones, whose copies write heartbeats, and a route that goes to one service after
 * the other; the platform comes back from older copies. Not thread safe.
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

    /** The service to which the route goes by the newest configuration. */
    String service() {
        return service;
    }

    /** The service of the copy that ran a request. */
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

    /** The route that changes, and one to each service, so that both are named at all times. */
    private Route[] routes() {
        return new Route[] {
            Routes.route(PATH, service, true, 1, 900, 500),
            Routes.route("/left/", LEFT, true, 1, 900, 500),
            Routes.route("/right/", RIGHT, true, 1, 900, 500)
        };
    }

    /**
     * Takes the platform away for a time; it comes back as it was before.
     *
     * @param at when it goes away
     * @param age how long before that it was as it is when it comes back
     * @param away for how long
     * @param back what happens right after its return
     */
    void returnOlder(long at, long age, long away, Runnable back) {
        PlatformCopy[] copy = new PlatformCopy[1];
        fleet.at(at - age, () -> copy[0] = fleet.copyOfPlatform());
        fleet.at(at, () -> fleet.platformDown = true);
        fleet.at(at + away, () -> {
            fleet.platformDown = false;
            fleet.returnFrom(copy[0]);
            back.run();
        });
    }
}
