package org.carawaysill.standin.configuration;

import static org.carawaysill.standin.http.TestClient.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import io.vertx.ext.web.client.HttpResponse;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.carawaysill.standin.http.TestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigurationServerTest {

    private static final String TRACKER = "/configuration/tracker";
    private static final String WATCH = TRACKER + "?after=2&wait-milliseconds=3600000";

    private final Vertx vertx = Vertx.vertx();
    private TestClient client;

    @BeforeEach
    void start(@TempDir Path directory) throws IOException {
        Files.writeString(directory.resolve("tracker.toml"), "old");
        Files.writeString(directory.resolve("parties.toml"), "parties");
        Files.writeString(directory.resolve("notes.txt"), "no document");
        SocketAddress address = SocketAddress.inetSocketAddress(0, "127.0.0.1");
        ConfigurationServer server =
                new ConfigurationServer(vertx, new ConfigurationSettings(address, Optional.of(directory)));
        client = new TestClient(vertx, server.listen().await().actualPort());
    }

    @AfterEach
    void stop() {
        vertx.close().await();
    }

    @Nested
    class WhenItIsUp {

        @Test
        void numbersTheVersionsOverAllServices() {
            assertDocument(1, "parties", client.get("/configuration/parties"));
            assertDocument(2, "old", client.get(TRACKER));
            assertEquals(404, client.get("/configuration/notes").statusCode());

            assertEquals(3, client.put(TRACKER, "new").bodyAsJsonObject().getInteger("version"));
            assertDocument(3, "new", client.get(TRACKER));
        }

        @Test
        void wakesAWatchWithTheNewDocument() throws InterruptedException {
            Future<HttpResponse<Buffer>> watch = watch();

            client.put("/configuration/parties", "another service's");
            assertEquals(1, waiting());
            client.put(TRACKER, "new");

            assertDocument(4, "new", watch.await());
            assertEquals(0, waiting());
        }

        @Test
        void endsAWatchWithoutNewsWhenItsWaitIsOver() {
            assertEquals(
                    304, client.get(TRACKER + "?after=2&wait-milliseconds=1").statusCode());
            assertEquals(304, client.get(TRACKER + "?after=2").statusCode());
            assertEquals(400, client.get(TRACKER + "?after=x").statusCode());
        }

        @Test
        void letsOnlyOneOfTwoPublishersWin() {
            assertEquals(200, publishOver(2));
            assertEquals(409, publishOver(2));
        }

        @Test
        void countsEachCallAndAWaitingWatchAsOne() throws InterruptedException {
            client.get(TRACKER);
            client.get("/configuration/none");
            watch();

            assertEquals(3, client.json("/counts").getInteger("reads"));
            assertEquals(1, client.json("/counts").getInteger("watches"));
        }

        private int publishOver(long version) {
            return client.request(HttpMethod.PUT, TRACKER)
                    .putHeader("If-Version", Long.toString(version))
                    .sendBuffer(Buffer.buffer("new"))
                    .await()
                    .statusCode();
        }
    }

    @Nested
    class UnderAFault {

        /**
         * Guards against a publication that does not take effect. The service serves a stale replica; once the replica
         * has caught up, waiting watches must get the missed documents at once, not with the next publication.
         */
        @Test
        void servesTheOldValuesWhileStaleAndWakesWatchesAfterwards() throws InterruptedException {
            fault("stale");
            Future<HttpResponse<Buffer>> watch = watch();
            client.put(TRACKER, "new");
            assertDocument(2, "old", client.get(TRACKER));
            assertEquals(1, waiting());

            fault("up");

            assertDocument(3, "new", watch.await());
        }

        @Test
        void closesReadersAndWatchesWhileDownButStillPublishes() throws InterruptedException {
            Future<HttpResponse<Buffer>> watch = watch();
            fault("down");

            assertThrows(Exception.class, watch::await);
            assertThrows(Exception.class, () -> client.get(TRACKER));
            client.put(TRACKER, "new");
            fault("up");
            assertDocument(3, "new", client.get(TRACKER));
            assertEquals(2, client.json("/counts").getInteger("failed"));
        }

        @Test
        void answersAfterTheDelayWhileSlow() throws InterruptedException {
            client.put("/faults", "{\"mode\":\"slow\",\"delayMilliseconds\":3600000}");
            Future<HttpResponse<Buffer>> late =
                    client.request(HttpMethod.GET, TRACKER).send();
            waitUntil(() -> client.json("/counts").getInteger("reads") == 1);
            client.put("/faults", "{\"mode\":\"slow\",\"delayMilliseconds\":1}");

            assertDocument(2, "old", client.get(TRACKER));
            assertFalse(late.isComplete());
            assertEquals(400, client.put("/faults", "{\"mode\":\"tired\"}").statusCode());
        }

        private void fault(String mode) {
            assertEquals(
                    200, client.put("/faults", "{\"mode\":\"" + mode + "\"}").statusCode());
        }
    }

    private Future<HttpResponse<Buffer>> watch() throws InterruptedException {
        Future<HttpResponse<Buffer>> watch =
                client.request(HttpMethod.GET, WATCH).send();
        waitUntil(() -> waiting() == 1);
        return watch;
    }

    private int waiting() {
        return client.json("/counts").getInteger("waitingWatches");
    }

    private static void assertDocument(long version, String text, HttpResponse<Buffer> answer) {
        assertEquals(200, answer.statusCode());
        assertEquals(Long.toString(version), answer.getHeader("Configuration-Version"));
        assertEquals(text, answer.bodyAsString());
    }
}
