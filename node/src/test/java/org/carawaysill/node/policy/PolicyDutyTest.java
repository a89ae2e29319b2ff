package org.carawaysill.node.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.node.exchange.ExchangeServer;
import org.carawaysill.node.lifecycle.NodeProcess;
import org.carawaysill.node.testing.RawConnection;
import org.carawaysill.node.testing.RawCopy;
import org.carawaysill.node.testing.SettingsText;
import org.carawaysill.policy.NodePolicy;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.time.Moment;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class PolicyDutyTest {

    private final RawCopy copy = new RawCopy();

    private final NodeProcess node = NodeProcess.builder(
                    SettingsText.parsed(copy.address(), 0, 1), (settings, start, random) -> new FailingPolicy())
            .random(new Random(1))
            .build();

    /**
     * Throws at one path. At each other request, its next wake-up first emits an effect that fails and then refuses the
     * request. Not thread safe: used by one thread.
     */
    private static final class FailingPolicy implements NodePolicy {

        private Optional<Event.CallerRequest> waiting = Optional.empty();

        private long wakeNanos = Long.MAX_VALUE;

        @Override
        public List<Effect> decide(Moment now, Event event) {
            if (event instanceof Event.CallerRequest request) {
                if (request.content().path().equals("/fault")) {
                    throw new IllegalStateException("a fault of the policy");
                }
                waiting = Optional.of(request);
                wakeNanos = now.nanos();
                return List.of();
            }
            Optional<Event.CallerRequest> answered = waiting;
            waiting = Optional.empty();
            wakeNanos = Long.MAX_VALUE;
            Effect impossible = new Effect.ConnectPeer(new NodeName("tracker-2"), "127.0.0.1", -1);
            return answered.map(
                            request -> List.of(impossible, new Effect.AnswerExchange(request.exchange(), refusal())))
                    .orElse(List.of());
        }

        private static Outcome refusal() {
            return new Outcome.NotRun(RefusalReason.OVERLOAD, Duration.ofSeconds(1), Step.ADMISSION, Optional.empty());
        }

        @Override
        public long nextWakeNanos() {
            return wakeNanos;
        }
    }

    @AfterEach
    void close() {
        node.stop().join();
        copy.close();
    }

    /*
     * A node accepted connections but never answered again, because its policy failed at one request and its thread
     * ended. Checks that the request is answered as unknown, since the policy may have sent it before the failure, and
     * that others are served. The same holds for an effect that fails: those after it are not lost.
     */
    @Test
    void continuesAfterAFailureOfThePolicyAndOfAnEffect() {
        node.start().join();
        int port = node.services().require("ingress", ExchangeServer.class).port();
        RawConnection connection = RawConnection.to(port);
        String unknown = connection.write("GET /fault HTTP/1.1\r\n\r\n").readMessage();
        assertTrue(unknown.startsWith("HTTP/1.1 504 "), unknown);
        String refused = connection.write("GET /bill HTTP/1.1\r\n\r\n").readMessage();
        assertTrue(refused.contains("\"reason\":\"overload\""), refused);
    }
}
