package org.carawaysill.node.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.vm.VmState;
import org.carawaysill.node.testing.AdapterBench;
import org.carawaysill.node.testing.SettingsText;
import org.carawaysill.policy.event.Event;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(120)
class PlatformReaderTest {

    private static final ServiceName TRACKER = new ServiceName("tracker");

    private static final String DOCUMENT = """
            service = "tracker"
            [[copies]]
            node = "tracker-1"
            zone = "molo-nord"
            address = "127.0.0.1:21002"
            slots = 60
            connections = 500
            """;

    private final AdapterBench bench = new AdapterBench();

    private final AtomicReference<String> requestedUri = new AtomicReference<>("");

    private int status = 200;

    private String version = "5";

    private String body = DOCUMENT;

    private final HttpServer platform = bench.vertx()
            .createHttpServer()
            .requestHandler(this::answer)
            .listen(0, "0.0.0.0")
            .toCompletionStage()
            .toCompletableFuture()
            .join();

    private final PlatformReader reader = bench.registry()
            .register(new PlatformReader(
                    bench.vertx(),
                    SettingsText.parsed(new NetworkAddress("127.0.0.1", 1), 0, platform.actualPort()),
                    bench.registry()));

    private void answer(HttpServerRequest request) {
        requestedUri.set(request.uri());
        request.response()
                .setStatusCode(status)
                .putHeader("Configuration-Version", version)
                .end(body);
    }

    @AfterEach
    void close() {
        reader.stop().join();
        bench.close();
    }

    private void read(long knownVersion, Duration maximumWait) {
        reader.readConfiguration(TRACKER, knownVersion, maximumWait);
    }

    private Event.ConfigurationReadFailed failure() {
        return bench.next(Event.ConfigurationReadFailed.class);
    }

    @Nested
    class Configurations {

        @Test
        void areReadWithTheirVersion() {
            read(0, Duration.ZERO);
            Event.ConfigurationRead read = bench.next(Event.ConfigurationRead.class);
            assertEquals(5, read.configuration().version());
            assertEquals(DOCUMENT, read.text());
            assertEquals("/configuration/tracker", requestedUri.get());
        }

        @Test
        void areAwaitedByLongPolling() {
            status = 304;
            read(5, Duration.ofSeconds(20));
            assertEquals(TRACKER, bench.next(Event.ConfigurationUnchanged.class).service());
            assertEquals("/configuration/tracker?after=5&wait-milliseconds=20000", requestedUri.get());
        }

        /*
         * Withdrawn selectors came into force again, because a lagging replica of the platform's service returned an
         * older version than the known one.
         */
        @ParameterizedTest
        @ValueSource(strings = {"5", "4", "0"})
        void areUnchangedIfTheVersionIsNotNewer(String served) {
            version = served;
            read(5, Duration.ZERO);
            bench.next(Event.ConfigurationUnchanged.class);
        }

        @Test
        void areRefusedWithVersionLineAndKeyIfInvalid() {
            body = DOCUMENT.replace("slots = 60", "slots = -1");
            read(0, Duration.ZERO);
            Event.ConfigurationRefused refused = bench.next(Event.ConfigurationRefused.class);
            assertEquals(5, refused.version());
            assertTrue(refused.message().contains("6: copies[0].slots"), refused.message());
        }

        @Test
        void areRefusedIfTheyBelongToAnotherService() {
            body = DOCUMENT.replace("\"tracker\"", "\"parties\"");
            read(0, Duration.ZERO);
            Event.ConfigurationRefused refused = bench.next(Event.ConfigurationRefused.class);
            assertEquals(5, refused.version());
            assertTrue(refused.message().contains("parties"), refused.message());
        }

        @Test
        void failIfThePlatformFails() {
            status = 500;
            read(0, Duration.ZERO);
            assertEquals("the platform answered with HTTP status 500", failure().message());
            version = "new";
            read(0, Duration.ZERO);
            assertEquals(Step.CONFIGURATION, failure().step());
        }

        /* A node ran out of heap because a platform service sent an endless answer. */
        @Test
        void failIfTheyAreTooLarge() {
            body = "x".repeat(8 * 1024 * 1024);
            read(0, Duration.ZERO);
            assertTrue(failure().message().contains("larger than"));
        }

        @Test
        void failIfThePlatformIsUnreachable() {
            platform.close().toCompletionStage().toCompletableFuture().join();
            read(0, Duration.ofSeconds(20));
            assertEquals(TRACKER, failure().service());
        }
    }

    @Nested
    class VmLists {

        @Test
        void areRead() {
            body = "{\"vms\":[{\"name\":\"tracker-1\",\"zone\":\"z\",\"host\":\"h\",\"state\":\"leaving\"}]}";
            reader.readVmList();
            assertEquals(
                    Map.of(new NodeName("tracker-1"), VmState.LEAVING),
                    bench.next(Event.VmListRead.class).list().states());
            assertEquals("/vms", requestedUri.get());
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "[]", "{}", "{\"vms\":[7]}", "{\"vms\":[{\"name\":\"a\",\"state\":\"odd\"}]}"})
        void failIfMalformed(String malformed) {
            body = malformed;
            reader.readVmList();
            assertEquals(Step.VM_LIST, failure().step());
        }
    }
}
