package org.carawaysill.standin.configuration;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.standin.http.BadRequestException;
import org.carawaysill.standin.http.HttpStandin;
import org.carawaysill.standin.http.JsonBody;
import org.tinylog.Logger;

/**
 * Serves the stand-in for the configuration service: the endpoints for reads and watches, and those for publishing,
 * read counts and faults, which stay reachable under every fault.
 *
 * <p>Not thread safe: after {@link #listen} it is used on the event loop only.
 */
public final class ConfigurationServer {

    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final Vertx vertx;
    private final ConfigurationSettings settings;
    private final ConfigurationStore store = new ConfigurationStore();
    private final ReadCounts counts = new ReadCounts();
    private final WaitingWatches watches;
    private Fault fault = new Fault.Up();

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the Vert.x instance on which it runs
     * @param settings its settings
     */
    public ConfigurationServer(Vertx vertx, ConfigurationSettings settings) {
        this.vertx = vertx;
        this.settings = settings;
        this.watches = new WaitingWatches(vertx);
        settings.directory()
                .ifPresent(directory -> DocumentDirectory.read(directory)
                        .forEach((service, text) -> store.publish(service, text, OptionalLong.empty())));
    }

    /**
     * Starts listening.
     *
     * @return the server once it listens
     */
    public Future<HttpServer> listen() {
        Router router = HttpStandin.router(vertx);
        router.get("/configuration/:service").handler(this::read);
        router.put("/configuration/:service").handler(HttpStandin.bodies()).handler(this::publish);
        router.put("/faults").handler(HttpStandin.bodies()).handler(this::setFault);
        router.get("/counts")
                .handler(context -> HttpStandin.answer(context, counts.toJson(System.nanoTime(), watches.size())));
        return HttpStandin.listen(vertx, settings.listen(), router);
    }

    private void read(RoutingContext context) {
        ReadRequest request = ReadRequest.of(context);
        counts.called(System.nanoTime(), request.isWatch());
        switch (fault) {
            case Fault.Up up -> answerOrWait(context, request);
            case Fault.Stale stale -> answerOrWait(context, request);
            case Fault.Slow(long delay) -> vertx.setTimer(delay, timer -> answerOrWait(context, request));
            case Fault.Down down -> close(context);
        }
    }

    private void answerOrWait(RoutingContext context, ReadRequest request) {
        if (context.response().closed()) {
            return;
        }
        Optional<PublishedDocument> document = visible(request.service());
        if (document.isEmpty()) {
            HttpStandin.answer(context, NOT_FOUND, "no configuration of " + request.service());
        } else if (request.isOlderThan(document.get())) {
            answer(context, document.get());
        } else {
            watches.add(new Watch(request.service(), request.after(), context), request.waitMilliseconds());
        }
    }

    private void publish(RoutingContext context) {
        ServiceName service = ReadRequest.service(context);
        String text = Optional.ofNullable(context.body().asString())
                .orElseThrow(() -> new BadRequestException("the body must be a TOML document"));
        switch (store.publish(service, text, ReadRequest.expectedVersion(context))) {
            case PublishResult.Published(long version) -> {
                HttpStandin.answer(context, new JsonObject().put("version", version));
                Logger.info("published {} in version {}", service, version);
                wakeWatches();
            }
            case PublishResult.Conflict(long version) ->
                HttpStandin.answer(context, CONFLICT, "the present version is " + version);
        }
    }

    private void setFault(RoutingContext context) {
        JsonBody body = JsonBody.read(context, "mode", "delayMilliseconds");
        String mode = body.text("mode").orElseThrow(() -> new BadRequestException("\"mode\" is missing"));
        long delay = Math.max(1, body.number("delayMilliseconds").orElse(1.0).longValue());
        fault = switch (mode) {
            case "up" -> new Fault.Up();
            case "down" -> new Fault.Down();
            case "slow" -> new Fault.Slow(delay);
            case "stale" -> new Fault.Stale(store.documents());
            default -> throw new BadRequestException("\"mode\" must be up, down, slow or stale");
        };
        Logger.info("fault mode {}", mode);
        HttpStandin.answer(context, new JsonObject().put("mode", mode));
        wakeWatches();
    }

    private void wakeWatches() {
        switch (fault) {
            case Fault.Up up -> watches.wake(this::answerIfNewer);
            case Fault.Stale stale -> watches.wake(this::answerIfNewer);
            case Fault.Slow(long delay) -> vertx.setTimer(delay, timer -> watches.wake(this::answerIfNewer));
            case Fault.Down down ->
                watches.wake(watch -> {
                    close(watch.context());
                    return true;
                });
        }
    }

    private boolean answerIfNewer(Watch watch) {
        Optional<PublishedDocument> newer =
                visible(watch.service()).filter(document -> document.version() > watch.after());
        newer.ifPresent(document -> answer(watch.context(), document));
        return newer.isPresent();
    }

    private Optional<PublishedDocument> visible(ServiceName service) {
        Map<ServiceName, PublishedDocument> documents = fault instanceof Fault.Stale(var old) ? old : store.documents();
        return Optional.ofNullable(documents.get(service));
    }

    private static void answer(RoutingContext context, PublishedDocument document) {
        context.response()
                .putHeader(ReadRequest.VERSION_HEADER, Long.toString(document.version()))
                .putHeader("Content-Type", "application/toml")
                .end(document.text());
    }

    private void close(RoutingContext context) {
        counts.failed();
        context.request().connection().close();
    }
}
