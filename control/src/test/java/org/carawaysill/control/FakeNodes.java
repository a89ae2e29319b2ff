package org.carawaysill.control;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

/** HTTP servers that answer like the admin ports of nodes. Thread safe. */
final class FakeNodes implements AutoCloseable {

    private final Vertx vertx = Vertx.vertx();
    private final List<String> drained = new CopyOnWriteArrayList<>();

    /** Starts a node whose versions the test may change, and returns its address. */
    String start(String node, AtomicReference<Map<String, Object>> versions) {
        HttpServer server = vertx.createHttpServer().requestHandler(request -> {
            if (request.path().equals("/drain")) {
                drained.add(node);
                request.response().setStatusCode(202).end();
            } else {
                request.response().end(status(node, versions.get()).encode());
            }
        });
        return start(server);
    }

    /** Starts a server that is not a node and gives the same answer to every request; returns its address. */
    String startOtherServer(String answer) {
        return start(vertx.createHttpServer()
                .requestHandler(request -> request.response().end(answer)));
    }

    private static String start(HttpServer server) {
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
        return "127.0.0.1:" + server.actualPort();
    }

    private static JsonObject status(String node, Map<String, Object> versions) {
        return new JsonObject()
                .put("node", node)
                .put("service", node.substring(0, node.indexOf('-')))
                .put("zone", "molo-nord")
                .put("draining", false)
                .put("versions", new JsonObject(versions));
    }

    List<String> drained() {
        return new ArrayList<>(drained);
    }

    @Override
    public void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
