package org.carawaysill.load.layout;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.carawaysill.load.site.Site;
import org.carawaysill.load.site.SiteCopy;

/** Generates the initial VM list of the stand-in. Stateless and thread safe. */
public final class VmListText {

    private VmListText() {}

    /**
     * Returns a list with the copies as live VMs.
     *
     * @param copies the copies
     * @return the JSON text
     */
    public static String of(List<SiteCopy> copies) {
        JsonArray vms = new JsonArray();
        copies.forEach(copy -> vms.add(vm(copy)));
        return new JsonObject().put("vms", vms).encodePrettily();
    }

    private static JsonObject vm(SiteCopy copy) {
        return new JsonObject()
                .put("name", copy.name().value())
                .put("zone", copy.zone().value())
                .put("host", Site.HOST)
                .put("state", "live");
    }
}
