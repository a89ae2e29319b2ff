package org.carawaysill.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * Defines the two services of a schedule: an entry service, whose copies call a deeper service.
 *
 * <p>Stateless and thread safe.
 */
final class Topology {

    /** The service that callers reach. */
    static final ServiceName ENTRY = new ServiceName("entry");
    /** The service that the copies of the entry service call. */
    static final ServiceName DEEP = new ServiceName("deep");
    /** Retries that the selectors grant to every request. */
    static final int RETRY_CREDITS = 3;
    /** Slots of every copy. */
    static final int SLOTS = 4;

    private static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};

    private Topology() {}

    static boolean runsAtMostOnce(String operation) {
        return operation.endsWith("post");
    }

    static ServiceName serviceOf(NodeName node) {
        return node.value().startsWith(ENTRY.value()) ? ENTRY : DEEP;
    }

    static String zoneOf(NodeName node) {
        return ZONES[Math.floorMod(node.value().hashCode(), ZONES.length)];
    }

    static int portOf(NodeName node) {
        return 1000 + Math.floorMod(node.value().hashCode(), 60000);
    }

    static List<NodeName> nodes(ServiceName service, int count) {
        List<NodeName> nodes = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            nodes.add(new NodeName(service + "-" + i));
        }
        return nodes;
    }

    /** Returns a service's document; the comment makes versions differ that are otherwise the same. */
    static String document(ServiceName service, List<NodeName> roster, String comment) {
        return "# " + comment + "\nservice = \"" + service + "\"\n"
                + (service.equals(ENTRY) ? "calls = [\"deep\"]\n" : "calls = []\n")
                + "[defaults]\nimportance = \"ordinary\"\nidempotent = false\nretry-credits = " + RETRY_CREDITS
                + "\ndeadline = \"1500ms\"\n"
                + roster.stream().map(Topology::copy).collect(Collectors.joining())
                + operation("read", "GET")
                + operation("post", "POST")
                + "[[callers]]\nname = \"desk\"\nlabels = { desk = \"gate\" }\n"
                + "[[selectors]]\nname = \"reads\"\nmatch = { \"request.kind\" = \"read\" }\nidempotent = true\n"
                + "[[selectors]]\nname = \"desk first\"\nmatch = { \"caller.desk\" = \"gate\" }\n"
                + "importance = \"critical\"\n";
    }

    private static String copy(NodeName node) {
        return "[[copies]]\nnode = \"" + node + "\"\nzone = \"" + zoneOf(node) + "\"\naddress = \"127.0.0.1:"
                + portOf(node) + "\"\nslots = " + SLOTS + "\nconnections = 100\n";
    }

    private static String operation(String name, String method) {
        return "[[operations]]\nname = \"" + name + "\"\nmethod = \"" + method + "\"\npath = \"/" + name
                + "\"\nlabels = { kind = \"" + name + "\" }\n";
    }
}
