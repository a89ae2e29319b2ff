package org.carawaysill.node.admin;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.model.error.CarawaysillException;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.settings.NodeSettings;
import org.carawaysill.node.lifecycle.PlannedStop;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.observation.StateLog;
import org.carawaysill.node.peer.PeerAdapter;
import org.carawaysill.node.policy.StatusBoard;
import org.jspecify.annotations.Nullable;

/**
 * The HTTP server for operators and metrics.
 *
 * <p>Invariant: no request to it affects how the node decides, except for draining and, on a bench, injected faults.
 * The public methods are thread safe; everything else is confined to the event loop.
 */
public final class AdminServer implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "admin";

    private static final int ACCEPTED = 202;

    private static final int NO_CONTENT = 204;

    private static final int BAD_REQUEST = 400;

    private static final int MAXIMUM_BODY_BYTES = 64 * 1024;

    private static final int IDLE_SECONDS = 120;

    private static final int GRACE_SECONDS = 1;

    private static final int INITIAL_PAGE_BYTES = 16 * 1024;

    private final NodeSettings settings;

    private final long incarnation;

    private final Counters counters;

    private final StatusBoard board;

    private final PlannedStop plannedStop;

    private final PeerAdapter peers;

    private final HttpServer server;

    /**
     * Creates the server, which doesn't listen yet.
     *
     * @param vertx the Vert.x instance
     * @param settings the node's settings
     * @param incarnation start time of the process, in milliseconds since 1970
     * @param registry provides the counters, the status board, the planned stop and the link between nodes
     */
    public AdminServer(Vertx vertx, NodeSettings settings, long incarnation, ServiceRegistry registry) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.counters = registry.require(Counters.NAME, Counters.class);
        this.board = registry.require(StatusBoard.NAME, StatusBoard.class);
        this.plannedStop = registry.require(PlannedStop.NAME, PlannedStop.class);
        this.peers = registry.require(PeerAdapter.NAME, PeerAdapter.class);
        HttpServerOptions options = new HttpServerOptions().setHttp2ClearTextEnabled(false);
        options.setIdleTimeout(IDLE_SECONDS);
        this.server = vertx.createHttpServer(options).requestHandler(router(vertx));
    }

    private Router router(Vertx vertx) {
        Router router = Router.router(vertx);
        router.get("/metrics").handler(this::metrics);
        router.get("/status").handler(this::status);
        router.get("/healthz").handler(routing -> routing.end("ok\n"));
        router.post("/drain").handler(routing -> accept(routing, plannedStop::orderDrain));
        router.post("/stop").handler(routing -> accept(routing, plannedStop::orderStop));
        if (settings.benchFaults()) {
            router.put("/faults")
                    .handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES))
                    .handler(this::faults);
        }
        return router;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        NetworkAddress address = settings.addresses().admin();
        return server.listen(address.port(), address.host())
                .<Void>mapEmpty()
                .recover(failure -> Future.failedFuture(new CarawaysillException(
                        Step.INGRESS, Optional.empty(), "can't listen at " + address + " for admin", failure)))
                .toCompletionStage()
                .toCompletableFuture();
    }

    @Override
    public CompletableFuture<Void> stop() {
        return server.shutdown(GRACE_SECONDS, TimeUnit.SECONDS)
                .toCompletionStage()
                .toCompletableFuture();
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return the bound port
     */
    public int port() {
        return server.actualPort();
    }

    private void metrics(RoutingContext routing) {
        ByteArrayOutputStream page = new ByteArrayOutputStream(INITIAL_PAGE_BYTES);
        try {
            PrometheusTextFormatWriter.create().write(page, counters.registry().scrape());
        } catch (IOException impossibleInMemory) {
            throw new UncheckedIOException(impossibleInMemory);
        }
        routing.response()
                .putHeader(HttpHeaders.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE)
                .end(Buffer.buffer(page.toByteArray()));
    }

    private void status(RoutingContext routing) {
        routing.json(StatusDocument.of(settings, incarnation, board.latest(), plannedStop.isDrained()));
    }

    private static void accept(RoutingContext routing, Runnable order) {
        order.run();
        routing.response().setStatusCode(ACCEPTED).end();
    }

    private void faults(RoutingContext routing) {
        Optional<Set<NodeName>> blocked = blockedPeers(routing.body().buffer());
        blocked.ifPresent(names -> {
            peers.block(names);
            StateLog.change(Step.MEMBERSHIP, Optional.empty(), "dropping all traffic of nodes " + names);
        });
        routing.response()
                .setStatusCode(blocked.isPresent() ? NO_CONTENT : BAD_REQUEST)
                .end();
    }

    /** Parses {@code {"blockedPeers": [names]}}; returns empty for a body of any other form. */
    private static Optional<Set<NodeName>> blockedPeers(@Nullable Buffer body) {
        try {
            return Optional.ofNullable(body)
                    .map(text -> text.toJsonObject().getJsonArray("blockedPeers"))
                    .map(names -> names.stream()
                            .map(name -> new NodeName((String) name))
                            .collect(Collectors.toUnmodifiableSet()));
        } catch (DecodeException | ClassCastException | IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }
}
