package org.carawaysill.node.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.IntStream;
import org.carawaysill.kernel.ring.OfferResult;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.node.testing.AdapterBench;
import org.carawaysill.policy.event.Event;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class PolicyInboxTest {

    private static final int MORE_THAN_THE_RING_HOLDS = 20_000;

    private final AdapterBench bench = new AdapterBench();

    @AfterEach
    void close() {
        bench.close();
    }

    /*
     * A slot of the copy was never freed, or a disconnected node was still regarded as connected, because the ring was
     * full when the end of the request or the loss of the connection was reported. Checks that such events wait and
     * keep their order, and that new work is refused until they have passed.
     */
    @Test
    void losesNoDeliveredEventAndKeepsTheirOrder() {
        IntStream.range(0, MORE_THAN_THE_RING_HOLDS)
                .forEach(i -> bench.inbox().deliver(new Event.ExchangeClosed(new ExchangeIdentifier(0, i))));
        assertEquals(OfferResult.FULL, bench.inbox().offerWork(new Event.WakeUp()));
        assertEquals(OfferResult.FULL, bench.inbox().offerNotice(new Event.WakeUp()));
        for (int i = 0; i < MORE_THAN_THE_RING_HOLDS; i++) {
            assertEquals(i, bench.next(Event.ExchangeClosed.class).exchange().low());
        }
        AdapterBench.await(() -> bench.inbox().offerWork(new Event.WakeUp()) == OfferResult.ACCEPTED);
    }

    @Test
    void reservesHalfOfTheRingForEventsThatFinishWork() {
        while (bench.inbox().offerWork(new Event.WakeUp()) == OfferResult.ACCEPTED) {
            Thread.onSpinWait();
        }
        assertEquals(bench.inbox().ring().capacity() / 2, bench.inbox().ring().size());
        assertEquals(OfferResult.ACCEPTED, bench.inbox().offerNotice(new Event.WakeUp()));
    }
}
