package org.carawaysill.control.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.carawaysill.model.identity.NetworkAddress;

/**
 * An HTTP client for the admin ports of nodes.
 *
 * <p>Invariant: every request ends within {@value #TIMEOUT_MILLISECONDS} ms. Thread safe.
 */
final class AdminClient implements AutoCloseable {

    private static final int TIMEOUT_MILLISECONDS = 2_000;
    private static final int OK = 200;
    private static final int REDIRECT = 300;

    private final Vertx vertx;
    private final WebClient client;

    AdminClient() {
        FileSystemOptions noFiles =
                new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false);
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setFileSystemOptions(noFiles));
        client = WebClient.create(
                vertx,
                new WebClientOptions()
                        .setConnectTimeout(TIMEOUT_MILLISECONDS)
                        .setFollowRedirects(false)
                        .setShared(false));
    }

    /** Requests the state of all nodes in parallel, and waits for the last answer. */
    List<NodeAnswer> status(List<NetworkAddress> nodes) {
        List<CompletableFuture<NodeAnswer>> asked =
                nodes.stream().map(this::status).toList();
        return asked.stream().map(CompletableFuture::join).toList();
    }

    private CompletableFuture<NodeAnswer> status(NetworkAddress node) {
        return send(HttpMethod.GET, node, "/status")
                .<NodeAnswer>map(response -> new NodeAnswer.Reported(node, NodeReport.of(response.bodyAsJsonObject())))
                .otherwise(failure -> new NodeAnswer.Silent(node, reason(failure)))
                .toCompletionStage()
                .toCompletableFuture();
    }

    /** Orders a node to drain. The future fails if the node did not accept the order. */
    CompletableFuture<Void> drain(NetworkAddress node) {
        return send(HttpMethod.POST, node, "/drain")
                .<Void>mapEmpty()
                .toCompletionStage()
                .toCompletableFuture();
    }

    private Future<HttpResponse<Buffer>> send(HttpMethod method, NetworkAddress node, String path) {
        HttpRequest<Buffer> request =
                client.request(method, node.port(), node.host(), path).timeout(TIMEOUT_MILLISECONDS);
        return request.send().map(AdminClient::requireSuccess);
    }

    private static HttpResponse<Buffer> requireSuccess(HttpResponse<Buffer> response) {
        if (response.statusCode() < OK || response.statusCode() >= REDIRECT) {
            throw new IllegalStateException("answered with HTTP status " + response.statusCode());
        }
        return response;
    }

    /** Returns the message of a failure, in one line. */
    static String reason(Throwable failure) {
        String message = failure.getMessage() == null ? failure.getClass().getSimpleName() : failure.getMessage();
        return message.lines().findFirst().orElse("");
    }

    @Override
    public void close() {
        client.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
