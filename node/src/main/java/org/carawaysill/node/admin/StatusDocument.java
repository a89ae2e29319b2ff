package org.carawaysill.node.admin;

import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.carawaysill.model.settings.NodeSettings;
import org.carawaysill.policy.effect.NodeStatus;

/** The node's state as JSON for operators, with maps sorted by name. Thread safe. */
final class StatusDocument {

    private StatusDocument() {}

    static JsonObject of(NodeSettings settings, long incarnation, NodeStatus status, boolean drained) {
        return new JsonObject()
                .put("node", settings.node().value())
                .put("service", settings.service().value())
                .put("zone", settings.zone().value())
                .put("policy", settings.policy().name().toLowerCase(Locale.ROOT))
                .put("incarnation", incarnation)
                .put("draining", status.draining())
                .put("drained", drained)
                .put("leaseHeld", status.leaseHeld())
                .put("inFlight", status.inFlight())
                .put("limit", status.limit())
                .put("queued", status.queued())
                .put("cut", status.cut())
                .put("cutsBelow", sorted(status.cutsBelow(), cut -> cut))
                .put("versions", sorted(status.versions(), version -> version))
                .put("peers", sorted(status.peers(), state -> state.name().toLowerCase(Locale.ROOT)));
    }

    private static <K, V> JsonObject sorted(Map<K, V> values, Function<V, Object> shown) {
        JsonObject object = new JsonObject();
        Map<String, V> byName = new TreeMap<>();
        values.forEach((name, value) -> byName.put(name.toString(), value));
        byName.forEach((name, value) -> object.put(name, shown.apply(value)));
        return object;
    }
}
