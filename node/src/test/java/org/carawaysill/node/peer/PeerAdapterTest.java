package org.carawaysill.node.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Optional;
import org.carawaysill.kernel.ring.OfferResult;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.node.testing.AdapterBench;
import org.carawaysill.node.testing.SettingsText;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class PeerAdapterTest {

    private static final NodeName PEER = new NodeName("manifests-1");

    private static final PeerMessage.PeerRequest REQUEST = new PeerMessage.PeerRequest(
            new AttemptIdentifier(1, 2),
            new RequestIdentifier(3, 4),
            new ServiceName("tracker"),
            "look",
            new CallerName("agent"),
            new Priority(0),
            true,
            Optional.empty(),
            2,
            1_000_000,
            1,
            PeerMessage.Purpose.RUN,
            new RequestContent("GET", "/", List.of(), Body.EMPTY));

    private final AdapterBench bench = new AdapterBench();

    private final PeerAdapter adapter = bench.registry()
            .register(new PeerAdapter(
                    SettingsText.parsed(new NetworkAddress("127.0.0.1", 1), 0, 2), 1, bench.registry()));

    @AfterEach
    void close() {
        bench.close();
    }

    /*
     * A node waited until its deadline for an answer and had to report the request as unknown, although the other node
     * dropped it unread because its ring was full. Checks that the other node refuses at once and returns all retry
     * credits. No peer is connected here, so the refusal is returned as unsent.
     */
    @Test
    void refusesARequestIfTheRingIsFull() {
        while (bench.inbox().offerWork(new Event.WakeUp()) == OfferResult.ACCEPTED) {
            Thread.onSpinWait();
        }
        adapter.received(PEER, REQUEST);
        assertEquals(1, bench.counted("refusals", "ring_full"));
        PeerMessage.PeerAnswer answer = assertInstanceOf(
                PeerMessage.PeerAnswer.class, bench.next(Event.PeerUnsent.class).message());
        assertEquals(REQUEST.attempt(), answer.attempt());
        assertEquals(REQUEST.retryCredits(), answer.unspentCredits());
        assertEquals(
                RefusalReason.RING_FULL,
                assertInstanceOf(Outcome.NotRun.class, answer.outcome()).reason());
    }

    @Test
    void dropsOnlyMessagesThatLaterOnesReplace() {
        while (bench.inbox().offerNotice(new Event.WakeUp()) == OfferResult.ACCEPTED) {
            Thread.onSpinWait();
        }
        adapter.received(PEER, new PeerMessage.ConfigurationWanted(REQUEST.service(), 1));
        assertEquals(1, bench.counted("lost_messages", "peer_notice"));
        adapter.received(PEER, new PeerMessage.CancelAttempt(REQUEST.attempt()));
        adapter.lost(PEER);
        assertEquals(
                new PeerMessage.CancelAttempt(REQUEST.attempt()),
                bench.next(Event.PeerReceived.class).message());
        assertEquals(PEER, bench.next(Event.PeerLost.class).peer());
    }
}
