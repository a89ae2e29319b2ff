package org.carawaysill.standin.vmlist;

import io.vertx.core.json.JsonObject;
import java.util.Locale;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.vm.VmState;

/**
 * A VM on the list.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the node on the VM
 * @param zone its availability zone
 * @param host its IP number
 * @param state its state
 */
record ListedVm(NodeName name, AvailabilityZone zone, String host, VmState state) {

    ListedVm withState(VmState changed) {
        return new ListedVm(name, zone, host, changed);
    }

    JsonObject toJson() {
        return new JsonObject()
                .put("name", name.value())
                .put("zone", zone.value())
                .put("host", host)
                .put("state", state.name().toLowerCase(Locale.ROOT));
    }
}
