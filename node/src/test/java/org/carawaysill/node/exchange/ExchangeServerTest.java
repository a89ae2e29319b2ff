package org.carawaysill.node.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.carawaysill.kernel.ring.OfferResult;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.node.testing.AdapterBench;
import org.carawaysill.node.testing.RawConnection;
import org.carawaysill.policy.event.Event;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(120)
class ExchangeServerTest extends ExchangeServerTestBase {

    @Nested
    class Ingress {

        @Test
        void turnsACompleteRequestIntoAnEvent() {
            connect()
                    .write(
                            "POST http://entry/bills/7?full=true HTTP/1.1\r\nHost: entry\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
                                    + "Carawaysill-Caller: quay-gate\r\nCarawaysill-Attempt: x\r\nIdempotency-Key: key-1\r\n"
                                    + "traceparent: 00-1-2-01\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            Event.CallerRequest request = bench.next(Event.CallerRequest.class);
            assertEquals(new CallerName("quay-gate"), request.caller());
            assertEquals(Optional.of("key-1"), request.key());
            assertEquals("/bills/7?full=true", request.content().path());
            assertEquals(Body.ofText("abcde"), request.content().body());
            assertEquals(
                    List.of("Carawaysill-Caller", "Idempotency-Key", "traceparent"),
                    request.content().headers().stream().map(Header::name).toList());
        }

        @Test
        void reportsACallerThatDisconnects() {
            RawConnection connection = send("GET /slow HTTP/1.1");
            ExchangeIdentifier exchange = bench.next(Event.CallerRequest.class).exchange();
            connection.close();
            assertEquals(exchange, bench.next(Event.ExchangeClosed.class).exchange());
            answer(exchange, "late");
            AdapterBench.await(() -> bench.counted("lost_messages", "late_answer") == 1);
            expectOthersUnaffected();
        }

        @Test
        void answersPipelinedRequestsInOrder() {
            RawConnection connection = connect().write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
            answer(bench.next(Event.CallerRequest.class).exchange(), "first");
            answer(bench.next(Event.CallerRequest.class).exchange(), "second");
            assertTrue(connection.readMessage().endsWith("first"));
            assertTrue(connection.readMessage().endsWith("second"));
        }

        /*
         * A clerk read another clerk's bill: two callers sent the same key and trace at the same time, and an answer
         * was sent to the wrong one. Exchanges are distinguished by identifiers that the node generates.
         */
        @Test
        void distinguishesExchangesWithTheSameKey() {
            String head = "GET /bill HTTP/1.1\r\nIdempotency-Key: same\r\ntraceparent: 00-same-1-01";
            RawConnection first = send(head);
            ExchangeIdentifier firstExchange =
                    bench.next(Event.CallerRequest.class).exchange();
            RawConnection second = send(head);
            answer(bench.next(Event.CallerRequest.class).exchange(), "for the second");
            answer(firstExchange, "for the first");
            assertTrue(first.readMessage().endsWith("for the first"));
            assertTrue(second.readMessage().endsWith("for the second"));
        }

        @Test
        void closesTheConnectionWhenHttpCannotCarryTheAnswer() {
            RawConnection connection = send("GET /odd HTTP/1.1");
            table.answer(
                    bench.next(Event.CallerRequest.class).exchange(),
                    new Outcome.Answered(new AnswerContent(200, List.of(new Header("X Odd", "1")), Body.EMPTY)));
            assertEquals("", connection.readToEnd());
            expectOthersUnaffected();
        }

        @Test
        void refusesImmediatelyIfTheRingIsFull() {
            while (bench.inbox().offerWork(new Event.WakeUp()) == OfferResult.ACCEPTED) {
                assertTrue(bench.inbox().ring().size() <= bench.inbox().ring().capacity());
            }
            String answer = send("GET /bill HTTP/1.1").readMessage();
            assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("\"reason\":\"ring_full\""), answer);
            assertEquals(1, bench.counted("refusals", "ring_full"));
        }
    }

    @Nested
    class Egress {

        @ParameterizedTest
        @CsvSource({"/services/parties/p/7?x=1,/p/7?x=1", "/services/parties,/", "/services/parties?x=1,/?x=1"})
        void readsServiceAndParentOfTheCopysCall(String path, String rest) {
            server = ExchangeServer.egress(settings(ConnectionLimits.DEFAULTS), bench.registry());
            server.start().join();
            send("GET " + path + " HTTP/1.1\r\nCarawaysill-Attempt: " + new AttemptIdentifier(5, 6));
            Event.CopyCall call = bench.next(Event.CopyCall.class);
            assertEquals(new ServiceName("parties"), call.target());
            assertEquals(Optional.of(new AttemptIdentifier(5, 6)), call.parent());
            assertEquals(rest, call.content().path());
        }

        @Test
        void refusesACallThatNamesNoService() {
            server = ExchangeServer.egress(settings(ConnectionLimits.DEFAULTS), bench.registry());
            server.start().join();
            assertTrue(send("GET /services/ HTTP/1.1").readToEnd().startsWith("HTTP/1.1 404 "));
            assertEquals(1, bench.counted("bad_requests", "no_service_in_path"));
        }
    }

    @Nested
    class Answers {

        private String answerTo(Outcome outcome) {
            RawConnection connection = send("GET /bill HTTP/1.1");
            table.answer(bench.next(Event.CallerRequest.class).exchange(), outcome);
            return connection.readMessage().replace("\r", "");
        }

        @Test
        void stateTheOutcome() {
            Optional<NodeName> peer = Optional.of(new NodeName("manifests-2"));
            Duration soon = Duration.ofMillis(1234);
            Approvals.verify(answerTo(new Outcome.Answered(
                            new AnswerContent(201, List.of(new Header("X-Odd", "a\u0001b")), Body.ofText("issued"))))
                    + "\n\n"
                    + answerTo(new Outcome.NotRun(RefusalReason.QUEUE_FULL, soon, Step.QUEUE, peer))
                    + "\n\n"
                    + answerTo(new Outcome.NotRun(RefusalReason.BAD_REQUEST, soon, Step.INGRESS, Optional.empty()))
                    + "\n\n"
                    + answerTo(new Outcome.Unknown(UnknownReason.PEER_LOST, Step.PEER_WAIT, peer)));
        }
    }
}
