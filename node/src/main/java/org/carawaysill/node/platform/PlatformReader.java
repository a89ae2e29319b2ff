package org.carawaysill.node.platform;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.PoolOptions;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.ext.web.codec.BodyCodec;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.configuration.ServiceConfigurationParser;
import org.carawaysill.model.document.ParseResult;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.settings.NodeSettings;
import org.carawaysill.node.policy.PolicyInbox;
import org.carawaysill.policy.event.Event;

/**
 * Reads configuration and the list of VMs from the platform.
 *
 * <p>Invariant: each read ends in exactly one event; the policy never receives a version that is not newer than the
 * known one. Thread safe.
 */
public final class PlatformReader implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "platform";

    /** The platform's size limit for a value, plus space for a message that the limit was exceeded. */
    private static final int MAXIMUM_DOCUMENT_BYTES = 1024 * 1024 + 1024;

    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(5);

    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** One long poll for each service that the copies call, and some connections for other reads. */
    private static final int MAXIMUM_CONNECTIONS = 32;

    private static final int NOT_MODIFIED = 304;

    private static final int OK = 200;

    private static final String VERSION_HEADER = "Configuration-Version";

    private final NetworkAddress configuration;

    private final NetworkAddress vmList;

    private final ServiceName ownService;

    private final PolicyInbox inbox;

    private final WebClient client;

    /**
     * Creates a reader.
     *
     * @param vertx the Vert.x instance
     * @param settings the node's settings
     * @param registry provides the inbox
     */
    public PlatformReader(Vertx vertx, NodeSettings settings, ServiceRegistry registry) {
        this.configuration = settings.platform().configuration();
        this.vmList = settings.platform().vmList();
        this.ownService = settings.service();
        this.inbox = registry.require(PolicyInbox.NAME, PolicyInbox.class);
        WebClientOptions options =
                new WebClientOptions().setFollowRedirects(false).setUserAgentEnabled(false);
        options.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        this.client = WebClient.create(vertx, options, new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> stop() {
        client.close();
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Reads a service's document.
     *
     * @param service the service
     * @param knownVersion the version that is already known, 0 for none
     * @param maximumWait how long the platform may hold the read open for a newer version; zero for a plain read
     */
    public void readConfiguration(ServiceName service, long knownVersion, Duration maximumWait) {
        HttpRequest<?> request =
                client.get(configuration.port(), configuration.host(), "/configuration/" + service.value());
        if (maximumWait.isPositive()) {
            request.addQueryParam("after", Long.toString(knownVersion));
            request.addQueryParam("wait-milliseconds", Long.toString(maximumWait.toMillis()));
        }
        send(request, maximumWait.plus(ANSWER_LIMIT))
                .onItem()
                .transform(answer -> configurationEvent(service, knownVersion, answer))
                .onFailure()
                .recoverWithItem(failure -> failed(service, Step.CONFIGURATION, failure))
                .subscribe()
                .with(inbox::deliver);
    }

    /** Reads the list of VMs. */
    public void readVmList() {
        send(client.get(vmList.port(), vmList.host(), "/vms"), ANSWER_LIMIT)
                .onItem()
                .transform(PlatformReader::vmListEvent)
                .onFailure()
                .recoverWithItem(failure -> failed(ownService, Step.VM_LIST, failure))
                .subscribe()
                .with(inbox::deliver);
    }

    private static Uni<PlatformAnswer> send(HttpRequest<?> request, Duration limit) {
        BoundedBody body = new BoundedBody(MAXIMUM_DOCUMENT_BYTES);
        return Uni.createFrom()
                .completionStage(() -> request.timeout(limit.toMillis())
                        .as(BodyCodec.pipe(body))
                        .send()
                        .toCompletionStage())
                .onItem()
                .transform(response -> new PlatformAnswer(response.statusCode(), version(response), body.text()));
    }

    private static long version(HttpResponse<?> response) {
        String version = response.getHeader(VERSION_HEADER);
        return version == null ? 0 : Long.parseLong(version);
    }

    private static Event configurationEvent(ServiceName service, long knownVersion, PlatformAnswer answer) {
        if (answer.status() == NOT_MODIFIED || answer.status() == OK && answer.version() <= knownVersion) {
            return new Event.ConfigurationUnchanged(service);
        }
        requireOk(answer);
        return switch (ServiceConfigurationParser.parse(answer.text(), answer.version())) {
            case ParseResult.Valid<ServiceConfiguration> valid ->
                read(service, answer.version(), valid.value(), answer.text());
            case ParseResult.Invalid<ServiceConfiguration> invalid ->
                new Event.ConfigurationRefused(
                        service, answer.version(), invalid.faults().toString());
        };
    }

    private static Event read(ServiceName service, long version, ServiceConfiguration read, String text) {
        if (!read.service().equals(service)) {
            return new Event.ConfigurationRefused(
                    service, version, "the document belongs to service " + read.service());
        }
        return new Event.ConfigurationRead(read, text);
    }

    private static void requireOk(PlatformAnswer answer) {
        if (answer.status() != OK) {
            throw new IllegalStateException("the platform answered with HTTP status " + answer.status());
        }
    }

    private static Event vmListEvent(PlatformAnswer answer) {
        requireOk(answer);
        return new Event.VmListRead(VmListFormat.parse(answer.text()));
    }

    private static Event failed(ServiceName service, Step step, Throwable failure) {
        return new Event.ConfigurationReadFailed(service, step, String.valueOf(failure.getMessage()));
    }

    /**
     * An answer of a platform service.
     *
     * @param status the HTTP status
     * @param version the document's version, 0 for none
     * @param text the body
     */
    private record PlatformAnswer(int status, long version, String text) {}
}
