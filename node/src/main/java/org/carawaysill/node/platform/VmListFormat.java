package org.carawaysill.node.platform;

import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.model.vm.VmState;

/** Parses the platform's list of VMs: {@code {"vms": [{"name": "...", "state": "live" | "leaving"}]}}. Thread safe. */
final class VmListFormat {

    private VmListFormat() {}

    /**
     * Parses a list.
     *
     * @param text the list in JSON
     * @return the list
     * @throws RuntimeException if the text has any other form
     */
    static VmList parse(String text) {
        Map<NodeName, VmState> states = new HashMap<>();
        for (Object entry : new JsonObject(text).getJsonArray("vms")) {
            JsonObject vm = (JsonObject) entry;
            VmState state = VmState.valueOf(vm.getString("state").toUpperCase(Locale.ROOT));
            states.put(new NodeName(vm.getString("name")), state);
        }
        return new VmList(states);
    }
}
