package org.carawaysill.load.client;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.load.schedule.Arrival;
import org.carawaysill.load.site.Site;
import org.carawaysill.load.site.SiteCopy.Port;
import org.carawaysill.model.identity.ServiceName;

/**
 * Simulates the callers of a site, with a separate client for each request.
 *
 * <p>Not thread safe: used on one event loop.
 */
public final class Clients {

    private static final int CONNECTIONS_PER_NODE = 4000;
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 500;
    private static final int IDLE_SECONDS = 5;

    private final ClientSettings settings;
    private final Vertx vertx;
    private final HttpClient http;
    private final Map<ServiceName, List<Integer>> ports = new HashMap<>();
    private final long startNanos;

    /**
     * Creates the callers.
     *
     * @param settings the timeout and retry settings
     * @param vertx the event loop
     * @param site the site
     * @param startNanos the run's start on the clock of {@link System#nanoTime()}
     */
    public Clients(ClientSettings settings, Vertx vertx, Site site, long startNanos) {
        this.settings = settings;
        this.vertx = vertx;
        this.startNanos = startNanos;
        this.http = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS)
                        .setKeepAliveTimeout(IDLE_SECONDS),
                new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_NODE));
        site.operations().forEach(operation -> ports.put(operation.service(), ingressPorts(site, operation.service())));
    }

    /**
     * Sends one request and its retries.
     *
     * @param arrival the request
     * @return the record of all tries; never fails
     */
    public Future<RequestRecord> send(Arrival arrival) {
        List<Integer> nodes = ports.getOrDefault(arrival.operation().service(), List.of());
        return new ImpatientClient(settings, vertx, http, arrival, nodes, startNanos).run();
    }

    private static List<Integer> ingressPorts(Site site, ServiceName service) {
        return site.copiesOf(service).stream()
                .map(copy -> copy.number(Port.INGRESS))
                .toList();
    }
}
