package org.carawaysill.node.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.carawaysill.node.ForwardingNodeMain;
import org.carawaysill.node.admin.AdminServer;
import org.carawaysill.node.exchange.ExchangeServer;
import org.carawaysill.node.policy.ForwardingPolicy;
import org.carawaysill.node.testing.RawConnection;
import org.carawaysill.node.testing.RawCopy;
import org.carawaysill.node.testing.SettingsText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(120)
class NodeProcessTest {

    private static final String REQUEST = "GET /bills/7 HTTP/1.1\r\nHost: entry\r\n\r\n";

    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbill";

    private static final int UNUSED_PORT = 1;

    private final RawCopy copy = new RawCopy();

    private final NodeProcess node = NodeProcess.builder(
                    SettingsText.parsed(copy.address(), 0, UNUSED_PORT),
                    (settings, start, random) -> new ForwardingPolicy())
            .random(new Random(1))
            .build();

    private final HttpClient operator = HttpClient.newHttpClient();

    @AfterEach
    void close() {
        operator.close();
        node.stop().join();
        copy.close();
    }

    private int ingressPort() {
        return node.services().require("ingress", ExchangeServer.class).port();
    }

    private HttpResponse<String> admin(String method, String path, String body) throws Exception {
        int port = node.services().require(AdminServer.NAME, AdminServer.class).port();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return operator.send(request, HttpResponse.BodyHandlers.ofString());
    }

    @Nested
    class PlannedStops {

        /*
         * A bill that was being issued when its VM was replaced failed at the quay gate, because the node ended while
         * the request was in flight. An ordered stop lets the request finish, refuses new ones, and ends only after
         * that.
         */
        @Test
        void finishRequestsInFlight() throws Exception {
            node.start().join();
            RawConnection caller = RawConnection.to(ingressPort()).write(REQUEST);
            RawConnection atCopy = copy.accept();
            atCopy.readHead();
            assertEquals(202, admin("POST", "/stop", "").statusCode());
            String refused = RawConnection.to(ingressPort()).write(REQUEST).readMessage();
            assertTrue(refused.contains("\"reason\":\"draining\""), refused);
            assertFalse(node.stopCompletion().isDone());
            atCopy.write(ANSWER);
            assertTrue(caller.readMessage().endsWith("bill"));
            node.stopCompletion().get(30, TimeUnit.SECONDS);
        }

        @Test
        void leaveADrainedProcessRunning() throws Exception {
            node.start().join();
            admin("POST", "/drain", "");
            while (!admin("GET", "/status", "").body().contains("\"drained\":true")) {
                assertFalse(node.stopCompletion().isDone());
            }
            node.orderStop();
            node.stopCompletion().get(30, TimeUnit.SECONDS);
        }
    }

    @Nested
    class Operators {

        /** The counter families of the model are covered by a separate test. */
        private static boolean isOfTheNode(String series) {
            return Stream.of("refusals", "unknown", "retries", "breaches", "configuration_total")
                    .noneMatch(family -> series.startsWith("carawaysill_" + family));
        }

        @Test
        void seeEachSeriesFromTheStart() throws Exception {
            node.start().join();
            String series = admin("GET", "/metrics", "")
                    .body()
                    .lines()
                    .filter(line -> !line.startsWith("#"))
                    .map(line -> line.substring(0, line.lastIndexOf(' ')))
                    .filter(Operators::isOfTheNode)
                    .sorted()
                    .collect(Collectors.joining("\n"));
            Approvals.verify(series);
        }

        @Test
        void findEachReasonExplained() throws Exception {
            node.start().join();
            String page = Files.readString(Path.of("../docs/operators/counters.md"));
            List<String> unexplained = admin("GET", "/metrics", "")
                    .body()
                    .lines()
                    .filter(line -> line.contains("{reason=") && !line.contains("link_faults"))
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .filter(reason -> !page.contains("`" + reason + "`"))
                    .toList();
            assertEquals(List.of(), unexplained);
        }

        @Test
        void seeTheState() throws Exception {
            node.start().join();
            Options options = new Options(text -> text.replaceAll("\"incarnation\":\\d+", "\"incarnation\":TIME"));
            Approvals.verify(admin("GET", "/status", "").body(), options);
            assertEquals("ok\n", admin("GET", "/healthz", "").body());
        }

        @Test
        void blockPeersOnlyWithAWellFormedOrder() throws Exception {
            node.start().join();
            assertEquals(
                    204,
                    admin("PUT", "/faults", "{\"blockedPeers\":[\"tracker-2\"]}")
                            .statusCode());
            for (String malformed :
                    new String[] {"", "{}", "[]", "{\"blockedPeers\":[1]}", "{\"blockedPeers\":[\"\"]}"}) {
                assertEquals(400, admin("PUT", "/faults", malformed).statusCode(), malformed);
            }
        }
    }

    @Nested
    class Start {

        @Test
        void failIfThePortIsInUse() {
            node.start().join();
            NodeProcess second = NodeProcess.builder(
                            SettingsText.parsed(copy.address(), ingressPort(), UNUSED_PORT),
                            (settings, start, random) -> new ForwardingPolicy())
                    .build();
            CompletionException failure =
                    assertThrows(CompletionException.class, () -> second.start().join());
            assertTrue(failure.getCause().getMessage().startsWith("can't listen at"), failure.toString());
            second.stop().join();
        }
    }

    @Nested
    class Programs {

        @TempDir
        private Path directory;

        private Process launch(String settings) throws IOException {
            Path file = Files.writeString(directory.resolve("node.toml"), settings);
            String java =
                    Path.of(System.getProperty("java.home"), "bin", "java").toString();
            return new ProcessBuilder(
                            java,
                            "-XX:+UseSerialGC",
                            "-Xmx32m",
                            "-cp",
                            System.getProperty("java.class.path"),
                            ForwardingNodeMain.class.getName(),
                            "--settings",
                            file.toString())
                    .redirectErrorStream(true)
                    .start();
        }

        private String firstLine(Process process) throws IOException {
            return process.inputReader().readLine();
        }

        /*
         * Guards against a JVM that exits immediately on the signal, with the signal as its exit status. The supervisor
         * would report a failed stop although the stop succeeded, or a request would be cut off.
         */
        @Test
        void endWithStatusZeroOnTheSignalAfterTheLastRequest() throws Exception {
            int port = freePort();
            Process process = launch(SettingsText.of(copy.address(), port, UNUSED_PORT));
            try {
                assertTrue(firstLine(process).endsWith("INFO step=INGRESS peer=- serving"));
                RawConnection caller = RawConnection.to(port).write(REQUEST);
                RawConnection atCopy = copy.accept();
                atCopy.readHead();
                process.toHandle().destroy();
                assertTrue(firstLine(process).endsWith("INFO step=DRAIN peer=- stopping as planned"));
                atCopy.write(ANSWER);
                assertTrue(caller.readMessage().endsWith("bill"));
                assertEquals(0, process.waitFor());
            } finally {
                process.destroyForcibly();
            }
        }

        @Test
        void reportEachFaultInTheirSettings() throws Exception {
            Process process = launch("[node]\nname = 7\n");
            String output = process.inputReader().lines().collect(Collectors.joining("\n"));
            assertEquals(2, process.waitFor());
            assertTrue(output.contains("node.toml:2: node.name"), output);
        }

        private static int freePort() throws IOException {
            try (ServerSocket socket = new ServerSocket(0)) {
                return socket.getLocalPort();
            }
        }
    }
}
