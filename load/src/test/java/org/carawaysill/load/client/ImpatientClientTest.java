package org.carawaysill.load.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.carawaysill.load.client.TryResult.Broken;
import org.carawaysill.load.client.TryResult.ConnectionLost;
import org.carawaysill.load.client.TryResult.NotRun;
import org.carawaysill.load.client.TryResult.TimedOut;
import org.carawaysill.load.client.TryResult.Whole;
import org.carawaysill.load.schedule.Arrival;
import org.carawaysill.load.site.SmallSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ImpatientClientTest {

    private static final long LIMIT_SECONDS = 60;
    private static final Duration SHORT = Duration.ofMillis(200);
    private static final Duration LONG = Duration.ofSeconds(30);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<String> keys = Collections.synchronizedList(new ArrayList<>());

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private int node(Handler<HttpServerRequest> behaviour) throws Exception {
        Handler<HttpServerRequest> recording = request -> {
            keys.add(String.valueOf(request.getHeader("Idempotency-Key")));
            behaviour.handle(request);
        };
        return vertx.createHttpServer()
                .requestHandler(recording)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(LIMIT_SECONDS, TimeUnit.SECONDS)
                .actualPort();
    }

    private RequestRecord send(int tries, Duration timeout, Integer... ports)
            throws InterruptedException, ExecutionException, TimeoutException {
        ClientSettings settings = new ClientSettings(tries, timeout, Duration.ofMillis(1), Duration.ofMillis(2), 0);
        Arrival arrival = new Arrival(0, 0, SmallSite.operation("lookup"), 1);
        Promise<RequestRecord> done = Promise.promise();
        vertx.runOnContext(ignored -> new ImpatientClient(
                        settings, vertx, vertx.createHttpClient(), arrival, List.of(ports), System.nanoTime())
                .run()
                .onComplete(done));
        return done.future().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private static void answer(HttpServerRequest request, String trace, int lengthAdded) {
        JsonObject body = new JsonObject().put("trace", trace).put("length", 0);
        int length = body.encode().length() + 1;
        request.response().end(body.put("length", length + lengthAdded).encode());
    }

    private static String trace(HttpServerRequest request) {
        return String.valueOf(request.getHeader("traceparent")).split("-")[1];
    }

    private static void refuse(HttpServerRequest request) {
        request.response()
                .setStatusCode(503)
                .putHeader("Carawaysill-Outcome", "not-run")
                .putHeader("Carawaysill-Retry-After-Milliseconds", "1500")
                .end("{\"reason\":\"OVERLOAD\"}");
    }

    @Test
    void retriesARefusalAtAnotherNodeUnderTheSameKey() throws Exception {
        RequestRecord request =
                send(4, LONG, node(ImpatientClientTest::refuse), node(refused -> answer(refused, trace(refused), 0)));
        assertTrue(request.whole(), request.toString());
        assertEquals(1, new HashSet<>(keys).size());
        assertEquals(request.tries().size(), keys.size());
    }

    @Test
    void keepsTheReasonOfARefusal() throws Exception {
        RequestRecord request = send(1, LONG, node(ImpatientClientTest::refuse));
        assertEquals(List.of(new NotRun("OVERLOAD", Duration.ofMillis(1500))), request.tries());
        assertTrue(request.everyTryNotRun());
    }

    @Test
    void givesUpAnAnswerThatDoesNotComeAndClosesItsConnection() throws Exception {
        // Guards against a late answer that is taken for the answer to another request: after a timeout the client must
        // close the connection, on which it would otherwise read the late answer as that to its next request.
        Promise<Void> closed = Promise.promise();
        int silent = node(request -> request.connection().closeHandler(ignored -> closed.tryComplete()));
        RequestRecord request = send(1, SHORT, silent);
        assertInstanceOf(TimedOut.class, request.tries().getFirst());
        closed.future().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void countsALostConnection() throws Exception {
        RequestRecord request = send(2, LONG, node(lost -> lost.connection().close()));
        assertEquals(List.of(new ConnectionLost(), new ConnectionLost()), request.tries());
    }

    @Test
    void takesNoForeignAnswer() throws Exception {
        RequestRecord request = send(1, LONG, node(foreign -> answer(foreign, "0".repeat(32), 0)));
        assertEquals(List.of(new Broken(AnswerFault.FOREIGN)), request.tries());
    }

    @Test
    void takesNoTruncatedAnswer() throws Exception {
        RequestRecord request = send(1, LONG, node(truncated -> answer(truncated, trace(truncated), 7)));
        assertEquals(List.of(new Broken(AnswerFault.TRUNCATED)), request.tries());
    }

    @Test
    void stopsAtAWholeAnswer() throws Exception {
        RequestRecord request = send(4, LONG, node(whole -> answer(whole, trace(whole), 0)));
        assertEquals(List.of(new Whole()), request.tries());
    }
}
