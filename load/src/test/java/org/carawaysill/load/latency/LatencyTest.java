package org.carawaysill.load.latency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LatencyTest {

    private static final long LIMIT_SECONDS = 60;

    @Nested
    class Paths {

        @Test
        void readsHostPortAndPath() {
            assertEquals(new LatencyPath("127.0.0.1", 21004, "/items/1"), LatencyPath.parse("127.0.0.1:21004/items/1"));
        }

        @Test
        void refusesWhatIsNoPath() {
            assertThrows(IllegalArgumentException.class, () -> LatencyPath.parse("127.0.0.1/items"));
            assertThrows(IllegalArgumentException.class, () -> LatencyPath.parse("127.0.0.1:port/items"));
            assertThrows(IllegalArgumentException.class, () -> LatencyPath.parse("127.0.0.1:0/items"));
        }
    }

    @Nested
    class Measurement {

        @Test
        void timesBothPathsAndCountsFailures() throws Exception {
            Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
            try {
                int port = vertx.createHttpServer()
                        .requestHandler(request -> request.response()
                                .setStatusCode(request.path().equals("/direct") ? 200 : 503)
                                .end())
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(LIMIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
                LatencyReport report = measure(
                        vertx,
                        new LatencySettings(
                                new LatencyPath("127.0.0.1", port, "/direct"),
                                new LatencyPath("127.0.0.1", port, "/through"),
                                100,
                                0,
                                1,
                                1));
                assertEquals(report.failures() + report.directMilliseconds().count(), scheduledRequests());
                assertEquals(0, report.throughMilliseconds().count());
            } finally {
                vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
            }
        }

        private long scheduledRequests() {
            LatencyPath any = new LatencyPath("127.0.0.1", 1, "/");
            return ScheduledRequest.draw(new LatencySettings(any, any, 100, 0, 1, 1))
                    .size();
        }

        private LatencyReport measure(Vertx vertx, LatencySettings settings) throws Exception {
            Promise<LatencyReport> done = Promise.promise();
            vertx.runOnContext(
                    ignored -> new LatencyMeasurement(settings, vertx).run().onComplete(done));
            return done.future().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
        }
    }
}
