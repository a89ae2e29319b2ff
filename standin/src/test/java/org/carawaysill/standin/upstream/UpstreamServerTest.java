package org.carawaysill.standin.upstream;

import static org.carawaysill.standin.http.TestClient.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.carawaysill.standin.http.TestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UpstreamServerTest {

    private static final SocketAddress ANY_PORT = SocketAddress.inetSocketAddress(0, "127.0.0.1");
    private static final String TRACE = "0123456789abcdef0123456789abcdef";
    private static final String TRACE_PARENT = "00-" + TRACE + "-0123456789abcdef-01";
    private static final String GRAPH = """
            service = "tracker"
            [[operations]]
            name = "held"
            method = "GET"
            path = "/held"
            idempotent = true
            service-milliseconds = 3600000.0
            [[operations]]
            name = "quick"
            method = "POST"
            path = "/quick"
            idempotent = false
            service-milliseconds = 0.0
            [[operations]]
            name = "status-lookup"
            method = "GET"
            path = "/bills/*/status"
            idempotent = true
            service-milliseconds = 1.0
            [[operations.calls]]
            service = "parties"
            method = "GET"
            path = "/parties/*"
            """;

    private final Vertx vertx = Vertx.vertx();
    private final List<HttpServerRequest> deeperCalls = new CopyOnWriteArrayList<>();
    private UpstreamSettings.Builder settings;
    private int port;
    private TestClient client;

    @BeforeEach
    void start() {
        HttpServer egress = vertx.createHttpServer()
                .requestHandler(deeperCalls::add)
                .listen(ANY_PORT)
                .await();
        settings = UpstreamSettings.builder(ServiceGraphFile.parse(GRAPH), "tracker-1", ANY_PORT)
                .capacity(1, 2)
                .nodeEgress(Optional.of(SocketAddress.inetSocketAddress(egress.actualPort(), "127.0.0.1")));
        startCopy();
    }

    private void startCopy() {
        HttpServer server = new UpstreamServer(vertx, settings.build()).listen().await();
        port = server.actualPort();
        client = new TestClient(vertx, port);
    }

    @AfterEach
    void stop() {
        vertx.close().await();
    }

    @Nested
    class WhenItsSlotIsTaken {

        /**
         * Guards against work that goes on after its caller has disconnected. A request holds the only slot and a
         * second one waits; when the connection of the first closes, its work must be cancelled and the slot released.
         */
        @Test
        void givesTheSlotOnWhenTheConnectionCloses() throws InterruptedException {
            Vertx clerk = Vertx.vertx();
            new TestClient(clerk, port).request(HttpMethod.GET, "/held").send();
            awaitLoad(1, 0);
            Future<HttpResponse<Buffer>> next = quick().send();
            awaitLoad(1, 1);

            clerk.close().await();

            assertEquals(200, next.await().statusCode());
            assertRuns(2, 1, 1);
        }

        @Test
        void refusesOverItsConnections() throws InterruptedException {
            client.request(HttpMethod.GET, "/held").send();
            awaitLoad(1, 0);
            quick().send();
            awaitLoad(1, 1);

            assertEquals(503, quick().send().await().statusCode());
            assertEquals(1, runs().getInteger("refused"));
            assertRuns(1, 0, 0);
        }
    }

    @Nested
    class WhenItFails {

        /**
         * Guards against a run that the log counts although the copy was down, which a bench reports as a duplicate. A
         * copy goes down with one request running and one waiting; cutting off the running one frees its slot, in which
         * the waiting one would start.
         */
        @Test
        void cutsOffWhatItHasWhenItGoesDownAndIsThereAgainLater() throws InterruptedException {
            Future<HttpResponse<Buffer>> cutOff =
                    client.request(HttpMethod.GET, "/held").send();
            awaitLoad(1, 0);
            quick().send();
            awaitLoad(1, 1);

            client.put("/behaviour", "{\"down\":true}");

            assertThrows(Exception.class, cutOff::await);
            assertThrows(Exception.class, () -> quick().send().await());
            assertRuns(1, 0, 1);
            assertEquals(1, runs().getInteger("withdrawn"));
            client.put("/behaviour", "{}");
            assertEquals(200, quick().send().await().statusCode());
        }

        @Test
        void refusesWhatIsNewWhileItDrainsAndKeepsWhatItHas() throws InterruptedException {
            client.request(HttpMethod.GET, "/held").send();
            awaitLoad(1, 0);

            client.put("/behaviour", "{\"draining\":true}");

            assertEquals(503, quick().send().await().statusCode());
            awaitLoad(1, 0);
            assertRuns(1, 0, 0);
        }

        @Test
        void refusesBehaviourThatItDoesNotKnow() {
            assertEquals(400, client.put("/behaviour", "{\"slow\":5}").statusCode());
            assertEquals(400, client.put("/behaviour", "{\"slowdown\":0}").statusCode());
            assertEquals(400, client.put("/behaviour", "[]").statusCode());
        }
    }

    @Nested
    class WhenItCallsDeeper {

        @Test
        void passesTheTraceAndTheAttemptOnAndAnswersWithTheChain() throws InterruptedException {
            Future<HttpResponse<Buffer>> answer = lookup();
            HttpServerRequest deeper = awaitDeeperCall();
            assertEquals("/services/parties/parties/42", deeper.path());
            assertEquals(TRACE_PARENT, deeper.getHeader("traceparent"));
            assertEquals("00ff", deeper.getHeader("Carawaysill-Attempt"));

            deeper.response().end(new AnswerBody(TRACE, "party-lookup", "parties(manifests)").encode(99));

            Optional<AnswerBody> body = AnswerBody.decode(answer.await().body());
            assertEquals(Optional.of(new AnswerBody(TRACE, "status-lookup", "tracker(parties(manifests))")), body);
        }

        /**
         * A careless copy relays the outcome header "not run" of a refused deeper call, although it has run itself. The
         * stand-in behaves so on purpose, since a node must not forward this header to the caller.
         */
        @Test
        void relaysTheOutcomeOfTheDeeperCall() throws InterruptedException {
            Future<HttpResponse<Buffer>> answer = lookup();
            awaitDeeperCall()
                    .response()
                    .setStatusCode(503)
                    .putHeader("Carawaysill-Outcome", "not-run")
                    .end();

            assertEquals(502, answer.await().statusCode());
            assertEquals("not-run", answer.await().getHeader("Carawaysill-Outcome"));
            assertEquals(1, runs().getInteger("failed"));
        }

        /**
         * Guards against an answer that reaches the wrong request. A late answer arrives on a reused connection and is
         * taken for the answer to the next request; the copy detects it by the trace identifier and counts it.
         */
        @Test
        void failsWhenTheAnswerIsAnothersAndCountsThat() throws InterruptedException {
            Future<HttpResponse<Buffer>> answer = lookup();
            awaitDeeperCall().response().end(new AnswerBody("another", "party-lookup", "parties").encode(99));

            assertEquals(502, answer.await().statusCode());
            assertEquals(1, runs().getInteger("foreignAnswers"));
        }

        @Test
        void cancelsTheDeeperCallWhenItsOwnCallerGoesAway() throws InterruptedException {
            Vertx clerk = Vertx.vertx();
            new TestClient(clerk, port)
                    .request(HttpMethod.GET, "/bills/42/status")
                    .send();
            Promise<Void> cancelled = Promise.promise();
            awaitDeeperCall().response().closeHandler(cancelled::complete);

            clerk.close().await();

            cancelled.future().await();
            awaitLoad(0, 0);
            assertRuns(1, 0, 1);
        }

        private Future<HttpResponse<Buffer>> lookup() {
            return client.request(HttpMethod.GET, "/bills/42/status")
                    .putHeader("traceparent", TRACE_PARENT)
                    .putHeader("Carawaysill-Attempt", "00ff")
                    .send();
        }

        private HttpServerRequest awaitDeeperCall() throws InterruptedException {
            waitUntil(() -> !deeperCalls.isEmpty());
            return deeperCalls.getFirst();
        }
    }

    @Test
    void saysThatItIsIdleWhenItsLoadIsToBeFalse() throws InterruptedException {
        settings.falseLoad(true);
        startCopy();
        client.request(HttpMethod.GET, "/held").send();

        waitUntil(() -> runs().getInteger("started") == 1);
        awaitLoad(0, 0);
    }

    @Test
    void shedsWhatIsTooLate() {
        HttpResponse<Buffer> answer = quick().putHeader("Carawaysill-Deadline-Milliseconds", "0")
                .send()
                .await();

        assertEquals(503, answer.statusCode());
        assertEquals(1, runs().getInteger("shed"));
        assertRuns(0, 0, 0);
    }

    /**
     * Guards against a duplicate run that a bench misses. The log is reset while a request waits; the request starts
     * afterwards and must be counted in the new log, not in the log of its arrival.
     */
    @Test
    void countsARunInTheLogOfTheMomentWhenItStarts() throws InterruptedException {
        Vertx clerk = Vertx.vertx();
        new TestClient(clerk, port).request(HttpMethod.GET, "/held").send();
        awaitLoad(1, 0);
        Future<HttpResponse<Buffer>> waiting = quick().send();
        awaitLoad(1, 1);

        client.request(HttpMethod.POST, "/runs/reset").send().await();
        clerk.close().await();
        waiting.await();

        assertRuns(1, 1, 0);
    }

    @Test
    void listsTheRunsOfEachTraceUntilTheLogIsReset() {
        quick().send().await();
        quick().send().await();

        JsonObject run =
                client.json("/runs?full=true").getJsonArray("runsByTrace").getJsonObject(0);
        assertEquals(
                new JsonObject().put("trace", TRACE).put("operation", "quick").put("runs", 2), run);
        client.request(HttpMethod.POST, "/runs/reset").send().await();
        assertRuns(0, 0, 0);
        assertTrue(client.json("/runs?full=true").getJsonArray("runsByTrace").isEmpty());
    }

    private HttpRequest<Buffer> quick() {
        return client.request(HttpMethod.POST, "/quick").putHeader("traceparent", TRACE_PARENT);
    }

    private JsonObject runs() {
        return client.json("/runs");
    }

    private void assertRuns(int started, int completed, int cancelled) {
        JsonObject runs = runs();
        assertEquals(started, runs.getInteger("started"));
        assertEquals(completed, runs.getInteger("completed"));
        assertEquals(cancelled, runs.getInteger("cancelled"));
    }

    private void awaitLoad(int running, int waiting) throws InterruptedException {
        waitUntil(() -> {
            JsonObject load = client.json("/load");
            return load.getInteger("running") == running && load.getInteger("waiting") == waiting;
        });
    }
}
