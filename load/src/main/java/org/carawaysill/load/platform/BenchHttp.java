package org.carawaysill.load.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import org.carawaysill.load.site.Site;

/**
 * HTTP client for the admin interfaces of processes on loopback. Thread safe.
 */
public final class BenchHttp {

    private static final int TIMEOUT_MILLISECONDS = 10_000;
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 5_000;
    private static final int OK = 200;

    private final WebClient client;

    /**
     * Creates the client.
     *
     * @param vertx the event loop
     */
    public BenchHttp(Vertx vertx) {
        client = WebClient.create(vertx, new WebClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS));
    }

    /**
     * Reads a JSON document.
     *
     * @param port the process's port
     * @param path the path
     * @return the document, or a {@link BenchException}
     */
    public Future<JsonObject> read(int port, String path) {
        return request(HttpMethod.GET, port, path)
                .send()
                .compose(response -> checked(response, port, path))
                .map(HttpResponse::bodyAsJsonObject);
    }

    /**
     * Reads a text document.
     *
     * @param port the process's port
     * @param path the path
     * @return the text, or a {@link BenchException}
     */
    public Future<String> text(int port, String path) {
        return request(HttpMethod.GET, port, path)
                .send()
                .compose(response -> checked(response, port, path))
                .map(HttpResponse::bodyAsString);
    }

    /**
     * Checks whether a process answers with success.
     *
     * @param port the process's port
     * @param path the path
     * @return nothing, or a {@link BenchException}
     */
    public Future<Void> probe(int port, String path) {
        return request(HttpMethod.GET, port, path)
                .send()
                .compose(response -> checked(response, port, path))
                .mapEmpty();
    }

    /**
     * Sends a JSON document to a process.
     *
     * @param port the process's port
     * @param path the path
     * @param body the document
     * @return nothing, or a {@link BenchException}
     */
    public Future<Void> put(int port, String path, JsonObject body) {
        return request(HttpMethod.PUT, port, path)
                .sendJsonObject(body)
                .compose(response -> checked(response, port, path))
                .mapEmpty();
    }

    /**
     * Publishes a document at a stand-in for the platform.
     *
     * @param port the process's port
     * @param path the path
     * @param text the document
     * @return the answer, or a {@link BenchException}
     */
    public Future<JsonObject> publish(int port, String path, String text) {
        return request(HttpMethod.PUT, port, path)
                .sendBuffer(Buffer.buffer(text))
                .compose(response -> checked(response, port, path))
                .map(HttpResponse::bodyAsJsonObject);
    }

    private HttpRequest<Buffer> request(HttpMethod method, int port, String path) {
        return client.request(method, port, Site.HOST, path).timeout(TIMEOUT_MILLISECONDS);
    }

    private static Future<HttpResponse<Buffer>> checked(HttpResponse<Buffer> response, int port, String path) {
        return response.statusCode() == OK
                ? Future.succeededFuture(response)
                : Future.failedFuture(new BenchException(port, path, "answered " + response.statusCode()));
    }
}
