package org.carawaysill.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The program says what is wrong in one line, and what a request would be in a few. */
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

            assertEquals(ExitStatus.NOT_SO, run.status());
            assertEquals(1, run.errors().size());
        }
    }
}
