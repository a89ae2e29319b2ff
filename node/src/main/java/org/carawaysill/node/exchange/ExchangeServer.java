package org.carawaysill.node.exchange;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.carawaysill.kernel.ring.OfferResult;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.model.error.CarawaysillException;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.node.observation.BadRequest;
import org.carawaysill.node.observation.ConnectionFault;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.observation.ExchangeResult;
import org.carawaysill.node.observation.ExchangeSide;
import org.carawaysill.node.observation.StateLog;
import org.carawaysill.node.policy.PolicyInbox;
import org.carawaysill.policy.event.Event;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP server that turns complete requests into events: the ingress for callers, or the egress for the local copy.
 *
 * <p>Invariant: each request gets one answer, or its connection is closed; a bad request is counted and affects no
 * other one. The methods of {@link Service} are thread safe; everything else is confined to the event loop.
 */
public final class ExchangeServer implements Service {

    private static final int MAXIMUM_LINE_BYTES = 8192;

    private static final Duration RING_FULL_RETRY_AFTER = Duration.ofMillis(500);

    private static final long GRACE_SECONDS = 10;

    /** How long the rest of a refused body is read and discarded, so that the client receives the refusal. */
    private static final long LINGER_MILLIS = 1000;

    private final ExchangeSide side;

    private final NetworkAddress address;

    private final RequestTranslation translation;

    private final Vertx vertx;

    private final HttpServer server;

    private final ExchangeTable table;

    private final PolicyInbox inbox;

    private final Counters counters;

    private final ConnectionGuard guard;

    private final RequestReader reader;

    private ExchangeServer(
            ExchangeSide side,
            RequestTranslation translation,
            ExchangeServerSettings settings,
            ServiceRegistry registry) {
        this.side = side;
        this.translation = translation;
        this.address = settings.address();
        this.vertx = settings.vertx();
        this.table = registry.require(ExchangeTable.NAME, ExchangeTable.class);
        this.inbox = registry.require(PolicyInbox.NAME, PolicyInbox.class);
        this.counters = registry.require(Counters.NAME, Counters.class);
        this.guard = new ConnectionGuard(vertx, settings.connections(), counters);
        this.reader = new RequestReader(settings.sizes().maximumBodyBytes(), table.budget());
        this.server = server(settings);
    }

    /**
     * Creates the server for callers.
     *
     * @param settings the address and the limits of the server
     * @param registry provides the exchange table, the inbox and the counters
     * @return the server, which doesn't listen yet
     */
    public static ExchangeServer ingress(ExchangeServerSettings settings, ServiceRegistry registry) {
        return new ExchangeServer(ExchangeSide.INGRESS, new RequestTranslation.OfCaller(), settings, registry);
    }

    /**
     * Creates the server for the local copy's own calls.
     *
     * @param settings the address and the limits of the server
     * @param registry provides the exchange table, the inbox and the counters
     * @return the server, which doesn't listen yet
     */
    public static ExchangeServer egress(ExchangeServerSettings settings, ServiceRegistry registry) {
        return new ExchangeServer(ExchangeSide.EGRESS, new RequestTranslation.OfCopy(), settings, registry);
    }

    private HttpServer server(ExchangeServerSettings settings) {
        HttpServerOptions options = new HttpServerOptions()
                .setHttp2ClearTextEnabled(false)
                .setHandle100ContinueAutomatically(true)
                .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                .setMaxHeaderSize(settings.sizes().maximumHeaderBytes());
        return vertx.createHttpServer(options)
                .connectionHandler(guard::opened)
                .invalidRequestHandler(this::refuseUndecodable)
                .requestHandler(this::read);
    }

    @Override
    public String name() {
        return side.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public CompletableFuture<Void> start() {
        return server.listen(address.port(), address.host())
                .<Void>mapEmpty()
                .recover(failure -> Future.failedFuture(new CarawaysillException(
                        Step.INGRESS, Optional.empty(), "can't listen at " + address + " for " + name(), failure)))
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

    private void read(HttpServerRequest request) {
        ConnectionWatch watch = guard.watch(request.connection());
        watch.bodyExpected();
        reader.read(request)
                .thenAccept(result -> received(request, watch, result))
                .exceptionally(failure -> abandon(request, failure));
    }

    private void received(HttpServerRequest request, ConnectionWatch watch, ReadResult result) {
        switch (result) {
            case ReadResult.Complete complete -> open(request, watch, complete.content());
            case ReadResult.Bad bad -> refuse(request, watch, bad.kind(), bad.detail());
            case ReadResult.Disconnected ignored -> counters.exchangeEnded(side, ExchangeResult.CLOSED);
        }
    }

    /**
     * Closes the connection after a fault of the node itself at one request. Otherwise the caller would wait forever;
     * with the close, it notices the fault, and the policy cancels the attempts of the request.
     */
    private @Nullable Void abandon(HttpServerRequest request, Throwable failure) {
        StateLog.fault(Step.INGRESS, Optional.empty(), "request failed in the node, connection closed: " + failure);
        counters.count(ConnectionFault.BROKEN);
        request.connection().close();
        return null;
    }

    private void open(HttpServerRequest request, ConnectionWatch watch, RequestContent content) {
        watch.answerAwaited();
        ExchangeIdentifier identifier =
                table.open(new Exchange(side, request, watch, content.body().length()));
        ReceivedRequest received = new ReceivedRequest(content, request.headers());
        switch (translation.translate(identifier, received)) {
            case RequestTranslation.Translated.Work work -> offer(identifier, work.event());
            case RequestTranslation.Translated.Bad bad -> {
                table.remove(identifier);
                refuse(request, watch, bad.kind(), bad.detail());
            }
        }
    }

    private void offer(ExchangeIdentifier identifier, Event event) {
        if (inbox.offerWork(event) == OfferResult.FULL) {
            counters.count(RefusalReason.RING_FULL);
            table.answer(identifier, outcomeOfUnqueued(event));
        }
    }

    /**
     * Returns the outcome of an event that was not queued. For a request with a key, an earlier attempt may have run
     * and its holder has not been asked, so "not run" could be false.
     */
    private static Outcome outcomeOfUnqueued(Event event) {
        boolean keyed =
                event instanceof Event.CallerRequest request && request.key().isPresent();
        return keyed
                ? new Outcome.Unknown(UnknownReason.HOLDER_UNREACHABLE, Step.INGRESS, Optional.empty())
                : new Outcome.NotRun(RefusalReason.RING_FULL, RING_FULL_RETRY_AFTER, Step.INGRESS, Optional.empty());
    }

    private void refuse(HttpServerRequest request, ConnectionWatch watch, BadRequest kind, String detail) {
        counters.count(kind);
        counters.exchangeEnded(side, ExchangeResult.NOT_RUN);
        watch.answerWriting();
        discardRemainingBody(request);
        request.response().putHeader(HttpHeaders.CONNECTION, "close");
        OutcomeWriter.writeBad(request.response(), kind, detail).onComplete(ignored -> closeAfterRefusal(request));
    }

    private static void discardRemainingBody(HttpServerRequest request) {
        if (!request.isEnded()) {
            request.handler(ignored -> {});
        }
    }

    private void closeAfterRefusal(HttpServerRequest request) {
        if (request.isEnded() && request.decoderResult().isSuccess()) {
            request.connection().close();
        } else {
            // If a connection is closed while the client still sends, it is reset, and the reset can overtake the
            // refusal.
            vertx.setTimer(LINGER_MILLIS, ignored -> request.connection().close());
        }
    }

    private void refuseUndecodable(HttpServerRequest request) {
        BadRequest kind = switch (request.decoderResult().cause()) {
            case TooLongHttpLineException ignored -> BadRequest.LINE_TOO_LONG;
            case TooLongHttpHeaderException ignored -> BadRequest.HEADERS_TOO_LARGE;
            case null, default -> BadRequest.MALFORMED;
        };
        refuse(request, guard.watch(request.connection()), kind, "the request can't be read as HTTP");
    }
}
