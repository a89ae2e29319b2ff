package org.carawaysill.node.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.settings.SizeLimits;
import org.carawaysill.node.testing.AdapterBench;
import org.carawaysill.node.testing.RawConnection;
import org.carawaysill.policy.event.Event;
import org.junit.jupiter.api.AfterEach;

/** A server on loopback, with the test in place of the policy. Not thread safe: confined to the test's thread. */
abstract class ExchangeServerTestBase {

    private static final SizeLimits SIZES = new SizeLimits(4096, 2048);

    private static final int BODY_BUDGET = 6000;

    static final Duration LONG = Duration.ofMinutes(10);

    static final Duration SHORT = Duration.ofMillis(50);

    final AdapterBench bench = new AdapterBench();

    final ExchangeTable table = bench.registry()
            .register(new ExchangeTable(
                    bench.eventLoop(), new IdentifierSource(new Random(1)), BODY_BUDGET, bench.registry()));

    ExchangeServer server = start(new ConnectionLimits(8, LONG, LONG, LONG, LONG));

    ExchangeServerSettings settings(ConnectionLimits limits) {
        return new ExchangeServerSettings(bench.vertx(), new NetworkAddress("127.0.0.1", 0), SIZES, limits);
    }

    ExchangeServer start(ConnectionLimits limits) {
        ExchangeServer started = ExchangeServer.ingress(settings(limits), bench.registry());
        started.start().join();
        return started;
    }

    @AfterEach
    void close() {
        bench.close();
    }

    RawConnection connect() {
        return RawConnection.to(server.port());
    }

    RawConnection send(String head) {
        return connect().write(head + "\r\n\r\n");
    }

    void answer(ExchangeIdentifier exchange, String body) {
        table.answer(
                exchange,
                new Outcome.Answered(new AnswerContent(200, List.of(new Header("X-Kept", "1")), Body.ofText(body))));
    }

    /** Checks that a well-behaved client still gets its answer. */
    void expectOthersUnaffected() {
        RawConnection other = send("GET /other HTTP/1.1");
        Event.CallerRequest request = bench.next(Event.CallerRequest.class);
        assertEquals("/other", request.content().path());
        answer(request.exchange(), "own");
        assertTrue(other.readMessage().endsWith("\r\n\r\nown"));
    }
}
