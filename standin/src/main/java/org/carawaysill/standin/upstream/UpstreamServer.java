package org.carawaysill.standin.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.carawaysill.standin.http.HttpStandin;
import org.carawaysill.standin.http.JsonBody;
import org.tinylog.Logger;

/**
 * Serves the stand-in for an upstream copy: the service's operations, and the endpoints by which a bench sets faults
 * and reads the run log.
 *
 * <p>Not thread safe: after {@link #listen} it is used on the event loop only.
 */
public final class UpstreamServer {

    private static final int NOT_FOUND = 404;

    private final Vertx vertx;
    private final UpstreamSettings settings;
    private final UpstreamCopy copy;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the Vert.x instance on which it runs
     * @param settings its settings
     */
    public UpstreamServer(Vertx vertx, UpstreamSettings settings) {
        this.vertx = vertx;
        this.settings = settings;
        this.copy = new UpstreamCopy(vertx, settings);
    }

    /**
     * Starts listening.
     *
     * @return the server once it listens
     */
    public Future<HttpServer> listen() {
        Router router = HttpStandin.router(vertx);
        router.get("/health").handler(context -> HttpStandin.answer(context, new JsonObject().put("status", "ok")));
        router.get("/load").handler(context -> HttpStandin.answer(context, copy.load()));
        router.get("/behaviour")
                .handler(context -> HttpStandin.answer(context, copy.behaviour().toJson()));
        router.put("/behaviour").handler(HttpStandin.bodies()).handler(this::setBehaviour);
        router.get("/runs").handler(this::runs);
        router.post("/runs/reset").handler(this::resetRuns);
        router.route().handler(context -> serve(context.request()));
        return HttpStandin.listen(vertx, settings.listen(), router);
    }

    private void serve(HttpServerRequest request) {
        if (copy.behaviour().down()) {
            request.connection().close();
            return;
        }
        var match = settings.graph().match(request.method().name(), request.path());
        if (match.isEmpty()) {
            request.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        request.end().onSuccess(ended -> copy.accept(request, match.get()));
    }

    private void setBehaviour(RoutingContext context) {
        Behaviour changed = Behaviour.of(JsonBody.read(context, "slowdown", "down", "draining"));
        copy.behaviour(changed);
        Logger.info("{} behaves {}", settings.name(), changed);
        HttpStandin.answer(context, changed.toJson());
    }

    private void runs(RoutingContext context) {
        if (context.queryParam("full").contains("true")) {
            new RunLogWriter(copy.log(), context.response()).write();
        } else {
            HttpStandin.answer(context, copy.log().toJson());
        }
    }

    private void resetRuns(RoutingContext context) {
        copy.resetLog();
        HttpStandin.answer(context, copy.log().toJson());
    }
}
