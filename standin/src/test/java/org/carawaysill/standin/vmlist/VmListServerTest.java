package org.carawaysill.standin.vmlist;

import static org.carawaysill.standin.http.TestClient.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.carawaysill.standin.http.TestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class VmListServerTest {

    private static final SocketAddress ANY_PORT = SocketAddress.inetSocketAddress(0, "127.0.0.1");
    private static final String VMS =
            "{\"vms\":[{\"name\":\"tracker-1\",\"zone\":\"molo-nord\",\"host\":\"127.0.0.1\",\"state\":\"live\"}]}";

    private final Vertx vertx = Vertx.vertx();

    @TempDir
    private Path directory;

    private Path file;

    @BeforeEach
    void writeFile() throws IOException {
        file = Files.writeString(directory.resolve("vms.json"), VMS);
    }

    @AfterEach
    void stop() {
        vertx.close().await();
    }

    @Test
    void listsTheVmsOfTheFileAndWhatBecomesOfThem() {
        TestClient client = start(0);
        assertEquals(VMS, client.get("/vms").bodyAsString());

        client.put("/vms/tracker-1", "{\"state\":\"leaving\"}");
        assertEquals(VMS.replace("live", "leaving"), client.get("/vms").bodyAsString());
        client.put("/vms/tracker-1", "{\"state\":\"gone\"}");
        assertEquals("{\"vms\":[]}", client.get("/vms").bodyAsString());
    }

    @Test
    void takesANewVmInOnlyWithItsZoneAndHost() {
        TestClient client = start(0);
        client.put("/vms/tracker-1", "{\"state\":\"gone\"}");

        assertEquals(404, client.put("/vms/tracker-1", "{\"state\":\"live\"}").statusCode());
        client.put("/vms/tracker-1", "{\"state\":\"live\",\"zone\":\"molo-nord\",\"host\":\"127.0.0.1\"}");
        assertEquals(VMS, client.get("/vms").bodyAsString());
        assertEquals(400, client.put("/vms/tracker-1", "{\"state\":\"ill\"}").statusCode());
    }

    @Test
    void showsAChangeAfterTheLagOnly() throws InterruptedException {
        TestClient late = start(3_600_000);
        late.put("/vms/tracker-1", "{\"state\":\"gone\"}");
        assertEquals(VMS, late.get("/vms").bodyAsString());

        TestClient soon = start(20);
        soon.put("/vms/tracker-1", "{\"state\":\"leaving\"}");
        soon.put("/vms/tracker-1", "{\"state\":\"gone\"}");
        waitUntil(() -> soon.json("/vms").getJsonArray("vms").isEmpty());
    }

    @Test
    void refusesAFileOfAnotherForm() throws IOException {
        Files.writeString(file, "{\"vms\":[{\"name\":\"tracker-1\"}]}");

        String message =
                assertThrows(IllegalArgumentException.class, () -> start(0)).getMessage();
        assertTrue(message.contains("vms.json must hold"), message);
    }

    private TestClient start(long lagMilliseconds) {
        VmListSettings settings = new VmListSettings(ANY_PORT, lagMilliseconds, Optional.of(file));
        return new TestClient(
                vertx, new VmListServer(vertx, settings).listen().await().actualPort());
    }
}
