package org.carawaysill.standin.http;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Talks to a stand-in over HTTP, waiting for each answer. Thread safe. */
public final class TestClient {

    private static final Duration LONGEST_WAIT = Duration.ofSeconds(30);
    private static final long POLL_MILLISECONDS = 5;

    private final WebClient client;
    private final int port;

    public TestClient(Vertx vertx, int port) {
        this.client = WebClient.create(vertx);
        this.port = port;
    }

    public HttpRequest<Buffer> request(HttpMethod method, String path) {
        return client.request(method, port, "127.0.0.1", path);
    }

    public HttpResponse<Buffer> get(String path) {
        return request(HttpMethod.GET, path).send().await();
    }

    public JsonObject json(String path) {
        return get(path).bodyAsJsonObject();
    }

    public HttpResponse<Buffer> put(String path, String body) {
        return request(HttpMethod.PUT, path).sendBuffer(Buffer.buffer(body)).await();
    }

    /**
     * Waits until a condition holds, or fails after a generous limit.
     *
     * @param condition the condition, which is polled
     * @throws InterruptedException if the thread is interrupted
     */
    public static void waitUntil(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + LONGEST_WAIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("the condition did not come to hold");
            }
            Thread.sleep(POLL_MILLISECONDS);
        }
    }
}
