package org.carawaysill.node.exchange;

import io.vertx.core.Context;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.node.observation.ConnectionFault;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.observation.ExchangeResult;
import org.carawaysill.node.observation.LostMessage;
import org.carawaysill.node.policy.PolicyInbox;
import org.carawaysill.node.policy.StatusBoard;
import org.carawaysill.policy.event.Event;

/**
 * The open HTTP exchanges by identifier.
 *
 * <p>Invariants: an exchange is answered at most once, and only by its own identifier; an answer without an open
 * exchange is dropped and counted. {@link #answer} is thread safe; everything else is confined to the event loop.
 */
public final class ExchangeTable implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "exchange-table";

    private final Context eventLoop;

    private final IdentifierSource identifiers;

    private final PolicyInbox inbox;

    private final Counters counters;

    private final StatusBoard board;

    private final BodyBudget budget;

    private final Map<ExchangeIdentifier, Exchange> open = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param eventLoop the context of the event loop
     * @param identifiers the source of new identifiers
     * @param bodyBytes the maximum number of bytes of the bodies of all open exchanges together
     * @param registry provides the inbox, the counters and the status board
     */
    public ExchangeTable(Context eventLoop, IdentifierSource identifiers, long bodyBytes, ServiceRegistry registry) {
        this.eventLoop = eventLoop;
        this.identifiers = identifiers;
        this.budget = new BodyBudget(bodyBytes);
        this.inbox = registry.require(PolicyInbox.NAME, PolicyInbox.class);
        this.counters = registry.require(Counters.NAME, Counters.class);
        this.board = registry.require(StatusBoard.NAME, StatusBoard.class);
    }

    @Override
    public String name() {
        return NAME;
    }

    BodyBudget budget() {
        return budget;
    }

    ExchangeIdentifier open(Exchange exchange) {
        ExchangeIdentifier identifier = identifiers.exchange();
        while (open.putIfAbsent(identifier, exchange) != null) {
            identifier = identifiers.exchange();
        }
        ExchangeIdentifier drawn = identifier;
        exchange.request().response().closeHandler(ignored -> closed(drawn));
        return drawn;
    }

    private void closed(ExchangeIdentifier identifier) {
        remove(identifier).ifPresent(exchange -> {
            counters.exchangeEnded(exchange.side(), ExchangeResult.CLOSED);
            inbox.deliver(new Event.ExchangeClosed(identifier));
        });
    }

    /**
     * Removes an exchange that this table doesn't answer.
     *
     * @param identifier the exchange
     * @return the exchange, if it was open
     */
    Optional<Exchange> remove(ExchangeIdentifier identifier) {
        Optional<Exchange> exchange = Optional.ofNullable(open.remove(identifier));
        exchange.ifPresent(taken -> budget.release(taken.bodyBytes()));
        return exchange;
    }

    /**
     * Answers an exchange, if it is still open.
     *
     * @param identifier the exchange
     * @param outcome the outcome of its request
     */
    public void answer(ExchangeIdentifier identifier, Outcome outcome) {
        eventLoop.runOnContext(ignored -> remove(identifier)
                .ifPresentOrElse(exchange -> write(exchange, outcome), () -> counters.count(LostMessage.LATE_ANSWER)));
    }

    private void write(Exchange exchange, Outcome outcome) {
        HttpServerResponse response = exchange.request().response();
        if (board.latest().draining()) {
            // The caller should send its next request to another node.
            response.putHeader(HttpHeaders.CONNECTION, "close");
        }
        exchange.watch().answerWriting();
        counters.exchangeEnded(exchange.side(), resultOf(outcome));
        try {
            OutcomeWriter.write(response, outcome)
                    .onComplete(ignored -> exchange.watch().answerWritten());
        } catch (RuntimeException unwritable) {
            // HTTP can't represent some answers, such as one with an invalid header name from a copy, and the caller
            // would wait forever. Closing the connection prevents that, and the caller sees no partial answer.
            counters.count(ConnectionFault.BROKEN);
            exchange.request().connection().close();
        }
    }

    private static ExchangeResult resultOf(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered ignored -> ExchangeResult.ANSWERED;
            case Outcome.NotRun ignored -> ExchangeResult.NOT_RUN;
            case Outcome.Unknown ignored -> ExchangeResult.UNKNOWN;
        };
    }
}
