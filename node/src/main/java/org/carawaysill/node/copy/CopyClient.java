package org.carawaysill.node.copy;

import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Invariant;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.node.observation.ConnectionFault;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.policy.PolicyInbox;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;

/**
 * The HTTP client for the local copy.
 *
 * <p>Invariants: each attempt gets exactly one {@link Event.CopyAnswered}, also if it is cancelled; "not run" is
 * reported only if no byte was written; a connection whose exchange was cancelled or failed carries no further one. The
 * public methods are thread safe; everything else is confined to the event loop.
 */
public final class CopyClient implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "copy-client";

    /** More than any copy of the present sites accepts; the policy decides how many are used. */
    private static final int MAXIMUM_CONNECTIONS = 2048;

    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** Short, so that the copy seldom closes an idle connection just when a request is written to it. */
    private static final int KEEP_ALIVE_SECONDS = 15;

    private final CopyClientSettings settings;

    private final PolicyInbox inbox;

    private final Counters counters;

    private final Map<AttemptIdentifier, CopyExchange> running = new HashMap<>();

    private final HttpClient client;

    /**
     * Creates a client without connections.
     *
     * @param settings the address and the limits of the client
     * @param registry provides the inbox and the counters
     */
    public CopyClient(CopyClientSettings settings, ServiceRegistry registry) {
        this.settings = settings;
        this.inbox = registry.require(PolicyInbox.NAME, PolicyInbox.class);
        this.counters = registry.require(Counters.NAME, Counters.class);
        this.client = settings.vertx()
                .httpClientBuilder()
                .with(options(settings))
                .with(poolOptions())
                .withConnectHandler(this::connected)
                .build();
    }

    /** Counts faults of a connection outside an exchange, such as an unsolicited answer, which close the connection. */
    private void connected(HttpConnection connection) {
        connection.exceptionHandler(ignored -> counters.count(ConnectionFault.COPY_BROKEN));
    }

    private static HttpClientOptions options(CopyClientSettings settings) {
        return new HttpClientOptions()
                .setProtocolVersion(HttpVersion.HTTP_1_1)
                .setDefaultHost(settings.copy().host())
                .setDefaultPort(settings.copy().port())
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                .setMaxHeaderSize(settings.sizes().maximumHeaderBytes());
    }

    private static PoolOptions poolOptions() {
        return new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS).setMaxWaitQueueSize(0);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> stop() {
        return client.close().toCompletionStage().toCompletableFuture();
    }

    /**
     * Sends a request to the copy, unless its deadline has passed by the time of writing.
     *
     * @param effect the attempt, the request and the deadline
     */
    public void send(Effect.SendToCopy effect) {
        settings.eventLoop().runOnContext(ignored -> start(effect));
    }

    /**
     * Cancels an attempt if it is still running, and closes its connection.
     *
     * @param attempt the attempt
     */
    public void cancel(AttemptIdentifier attempt) {
        settings.eventLoop()
                .runOnContext(
                        ignored -> Optional.ofNullable(running.get(attempt)).ifPresent(CopyExchange::cancel));
    }

    private void start(Effect.SendToCopy effect) {
        // With two exchanges under one identifier, each could get the other's answer.
        if (running.containsKey(effect.attempt())) {
            counters.count(Invariant.AT_MOST_ONCE);
            return;
        }
        CopyExchange exchange = new CopyExchange(effect, settings, counters, this::finished);
        running.put(effect.attempt(), exchange);
        exchange.start(client);
    }

    private void finished(AttemptIdentifier attempt, Outcome outcome) {
        running.remove(attempt);
        inbox.deliver(new Event.CopyAnswered(attempt, outcome));
    }
}
