package org.carawaysill.standin.vmlist;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import java.util.SequencedMap;
import java.util.TreeMap;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.vm.VmState;
import org.carawaysill.standin.http.BadRequestException;
import org.carawaysill.standin.http.HttpStandin;
import org.carawaysill.standin.http.JsonBody;

/**
 * Serves the stand-in for the VM list, in which readers see each change only after the lag.
 *
 * <p>Invariant: readers see the list as it was one lag ago; the VMs of the start are visible at once. Not thread safe:
 * after {@link #listen} it is used on the event loop only.
 */
public final class VmListServer {

    private static final int NOT_FOUND = 404;

    private final Vertx vertx;
    private final VmListSettings settings;
    private final SequencedMap<NodeName, ListedVm> current = new TreeMap<>();
    private final SequencedMap<NodeName, ListedVm> visible = new TreeMap<>();

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the Vert.x instance on which it runs
     * @param settings its settings
     */
    public VmListServer(Vertx vertx, VmListSettings settings) {
        this.vertx = vertx;
        this.settings = settings;
        settings.file().stream().flatMap(file -> VmListFile.read(file).stream()).forEach(vm -> {
            current.put(vm.name(), vm);
            visible.put(vm.name(), vm);
        });
    }

    /**
     * Starts listening.
     *
     * @return the server once it listens
     */
    public Future<HttpServer> listen() {
        Router router = HttpStandin.router(vertx);
        router.get("/vms").handler(this::read);
        router.put("/vms/:name").handler(HttpStandin.bodies()).handler(this::change);
        return HttpStandin.listen(vertx, settings.listen(), router);
    }

    private void read(RoutingContext context) {
        JsonArray vms = new JsonArray();
        visible.values().forEach(vm -> vms.add(vm.toJson()));
        HttpStandin.answer(context, new JsonObject().put("vms", vms));
    }

    private void change(RoutingContext context) {
        NodeName name = new NodeName(context.pathParam("name"));
        JsonBody body = JsonBody.read(context, "state", "zone", "host");
        Optional<ListedVm> listed = known(name, body);
        if (listed.isEmpty()) {
            HttpStandin.answer(context, NOT_FOUND, "no VM " + name + "; a new one needs \"zone\" and \"host\"");
            return;
        }
        Optional<ListedVm> changed = state(body).map(listed.get()::withState);
        put(current, name, changed);
        if (settings.lagMilliseconds() == 0) {
            put(visible, name, changed);
        } else {
            vertx.setTimer(settings.lagMilliseconds(), timer -> put(visible, name, changed));
        }
        HttpStandin.answer(context, new JsonObject().put("name", name.value()));
    }

    private Optional<ListedVm> known(NodeName name, JsonBody body) {
        Optional<ListedVm> given = body.text("zone")
                .flatMap(zone -> body.text("host")
                        .map(host -> new ListedVm(name, new AvailabilityZone(zone), host, VmState.LIVE)));
        return given.or(() -> Optional.ofNullable(current.get(name)));
    }

    private static Optional<VmState> state(JsonBody body) {
        String state = body.text("state").orElseThrow(() -> new BadRequestException("\"state\" is missing"));
        return switch (state) {
            case "live" -> Optional.of(VmState.LIVE);
            case "leaving" -> Optional.of(VmState.LEAVING);
            case "gone" -> Optional.empty();
            default -> throw new BadRequestException("\"state\" must be live, leaving or gone");
        };
    }

    private static void put(SequencedMap<NodeName, ListedVm> vms, NodeName name, Optional<ListedVm> vm) {
        vm.ifPresentOrElse(changed -> vms.put(name, changed), () -> vms.remove(name));
    }
}
