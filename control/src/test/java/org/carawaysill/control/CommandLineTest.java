package org.carawaysill.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the program reports each error in one line, and explains how a request is classified. */
class CommandLineTest {

    private static final Path SITE = Path.of("..", "sites", "trinacria", "configuration");
    private static final String TRACKER = SITE.resolve("tracker.toml").toString();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "publish",
                "check",
                "check --fast a.toml",
                "check absent.toml",
                "check src",
                "check --node-settings absent.toml",
                "explain --path /x",
                "explain --configuration absent.toml --path /x",
                "status",
                "status --admin",
                "status --admin localhost:21003",
                "status --admin 127.0.0.1:0",
                "status --settings absent.toml",
                "status --admin 127.0.0.1:21003 --until tracker",
                "status --admin 127.0.0.1:21003 --patience soon",
                "drain",
                "drain --admin 127.0.0.1:99999"
            })
    void anythingWrongIsOneLineAndCodeTwo(String line) {
        Run run = line.isEmpty() ? Run.of() : Run.of(line.split(" "));

        assertEquals(2, run.status().code());
        assertEquals(1, run.errors().size(), () -> run.errors().toString());
        assertEquals("", run.output());
    }

    @ParameterizedTest
    @ValueSource(strings = {"check", "explain", "status", "drain"})
    void everyCommandHasHelp(String command) {
        Run run = Run.of(command, "--help");

        assertEquals(ExitStatus.DONE, run.status());
        assertTrue(run.output().startsWith("usage: carawaysill-control " + command + " "), run::output);
    }

    @Nested
    class Check {

        @Test
        void namesFileLineAndKeyOfEachFault() {
            Run run = Run.of(
                    "check",
                    TRACKER,
                    Path.of("src", "test", "resources", "broken.toml").toString());

            assertEquals(2, run.status().code());
            assertTrue(run.output().contains("tracker.toml: ok"), run::output);
            String file = Path.of("src", "test", "resources", "broken.toml").toString();
            assertEquals(
                    file + ":2: calls[0]: a service can't call itself",
                    run.errors().getFirst());
            assertEquals(3, run.errors().size());
        }
    }

    @Nested
    class CheckOfSeveralDocuments {

        @ParameterizedTest
        @ValueSource(strings = {"trinacria", "tengri"})
        void acceptsTheDocumentsOfEachSite(String site) throws IOException {
            List<String> words = new ArrayList<>(List.of("check"));
            try (Stream<Path> files = Files.list(Path.of("..", "sites", site, "configuration"))) {
                files.sorted().map(Path::toString).forEach(words::add);
            }

            Run run = Run.of(words.toArray(String[]::new));

            assertEquals(List.of(), run.errors());
            assertEquals(ExitStatus.DONE, run.status());
        }

        @Test
        void reportsDuplicateEntriesAndCallCycles() {
            String file = resource("clashing.toml");
            Run run = Run.of("check", TRACKER, file);

            assertEquals(2, run.status().code());
            assertEquals(
                    List.of(
                            file + ": copies: tracker-2 stands in " + TRACKER + " too",
                            file + ": copies: 127.0.0.1:21012 stands in " + TRACKER + " too",
                            TRACKER + ": calls: the calls of tracker lead back to itself",
                            file + ": calls: the calls of parties lead back to itself"),
                    run.errors());
        }
    }

    @Nested
    class Explain {

        @Test
        void tellsWhereEachTermComesFrom() {
            Run run =
                    Run.of("explain", "--configuration", TRACKER, "--path", "/bills/7/status", "--caller", "quay-gate");

            assertEquals(ExitStatus.DONE, run.status());
            Approvals.verify(run.output());
        }

        @Test
        void tellsThatNoOperationMatches() {
            Run run = Run.of("explain", "--configuration", TRACKER, "--method", "PUT", "--path", "/bills/7/status");

            assertEquals(ExitStatus.CHECK_FAILED, run.status());
            assertEquals(1, run.errors().size());
        }
    }

    private static String resource(String name) {
        return Path.of("src", "test", "resources", name).toString();
    }
}
