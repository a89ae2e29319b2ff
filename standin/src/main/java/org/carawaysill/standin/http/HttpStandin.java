package org.carawaysill.standin.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Optional;

/**
 * Starts the HTTP server of a stand-in and provides the forms of answers that all stand-ins share.
 *
 * <p>No state; thread safe.
 */
public final class HttpStandin {

    /** Maximum length of a request body: values of the platform hold up to a megabyte. */
    public static final long MAXIMUM_BODY_BYTES = 1024L * 1024L;

    private static final int ACCEPT_BACKLOG = 4096;
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_ERROR = 500;

    private HttpStandin() {}

    /**
     * Creates a router that answers a {@link BadRequestException} with status 400 and its message.
     *
     * @param vertx the Vert.x instance on which its handlers run
     * @return a router without routes
     */
    public static Router router(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route().failureHandler(HttpStandin::fail);
        return router;
    }

    /**
     * Creates a handler that reads small bodies into memory as a whole.
     *
     * @return the handler
     */
    public static BodyHandler bodies() {
        return BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES);
    }

    /**
     * Starts a server.
     *
     * @param vertx the Vert.x instance on which it runs
     * @param address the address on which it listens; port 0 selects any free port
     * @param router the routes that it serves
     * @return the server once it listens, or the cause of the failure
     */
    public static Future<HttpServer> listen(Vertx vertx, SocketAddress address, Router router) {
        HttpServerOptions options =
                new HttpServerOptions().setAcceptBacklog(ACCEPT_BACKLOG).setHttp2ClearTextEnabled(false);
        return vertx.createHttpServer(options).requestHandler(router).listen(address);
    }

    /**
     * Answers with a JSON object.
     *
     * @param context the request
     * @param body the object
     */
    public static void answer(RoutingContext context, JsonObject body) {
        context.response().putHeader("Content-Type", "application/json").end(body.toBuffer());
    }

    /**
     * Answers with a status and one line of text.
     *
     * @param context the request
     * @param status the HTTP status code
     * @param text the line
     */
    public static void answer(RoutingContext context, int status, String text) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "text/plain; charset=utf-8")
                .end(text + "\n");
    }

    private static void fail(RoutingContext context) {
        if (context.failure() instanceof BadRequestException failure) {
            answer(context, BAD_REQUEST, failure.getMessage());
            return;
        }
        int status = context.statusCode() > 0 ? context.statusCode() : INTERNAL_ERROR;
        String reason = Optional.ofNullable(context.failure())
                .map(Throwable::toString)
                .orElseGet(() -> HttpResponseStatus.valueOf(status).reasonPhrase());
        answer(context, status, reason);
    }
}
