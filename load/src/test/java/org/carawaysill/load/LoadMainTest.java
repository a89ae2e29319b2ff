package org.carawaysill.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadMainTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int run(String... arguments) {
        return LoadMain.run(List.of(arguments), new PrintStream(out), new PrintStream(errors));
    }

    private String line() {
        String text = errors.toString(StandardCharsets.UTF_8);
        assertEquals(1, text.lines().count(), text);
        return text.strip();
    }

    @Nested
    class WrongCommandLines {

        @Test
        void namesTheUnknownFlag() {
            assertEquals(2, run("layout", "--polcy", "baseline"));
            assertTrue(line().contains("--polcy"), line());
        }

        @Test
        void namesTheUnknownScenario() {
            assertEquals(2, run("run", "--scenario", "storm", "--report", "unused"));
            assertTrue(line().contains("\"storm\" is not a scenario; there are surge, slow"), line());
        }

        @Test
        void namesTheUnreadableFile() {
            assertEquals(2, run("run", "--sites", "no-such-directory", "--report", "unused"));
            assertTrue(line().contains("site.toml: can't be read"), line());
        }

        @Test
        void asksForASubcommand() {
            assertEquals(2, run());
            assertTrue(line().contains("a sub-command is missing"), line());
        }
    }

    @Nested
    class Help {

        @Test
        void listsTheFlagsOfASubcommand() {
            assertEquals(0, run("run", "--help"));
            assertTrue(out.toString(StandardCharsets.UTF_8).contains("--scenario NAME"));
        }
    }
}
