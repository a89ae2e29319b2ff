package org.carawaysill.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StandinMainTest {

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    @Nested
    class WhenItIsAskedForHelp {

        @Test
        void tellsTheSubcommandsAndTheFlagsOfEach() {
            for (String line : List.of("--help", "configuration --help", "vm-list --help", "upstream --help")) {
                assertEquals(OptionalInt.of(0), run(line));
                output.writeBytes("----\n".getBytes(StandardCharsets.UTF_8));
            }
            Approvals.verify(output.toString(StandardCharsets.UTF_8));
        }
    }

    @Nested
    class WhenTheCommandLineIsWrong {

        @Test
        void saysSoInOneLineAndEndsWithTwo() {
            String graph = "../sites/trinacria/graphs/tracker.toml";
            String copy = "upstream --name a --listen 127.0.0.1:0 --connections 9 ";
            List<String> lines = List.of(
                    "",
                    "proxy",
                    "vm-list --listen 127.0.0.1:0 --colour red",
                    "vm-list --listen 127.0.0.1:0 --lag-milliseconds soon",
                    "vm-list --listen 127.0.0.1:0 --lag-milliseconds -1",
                    "vm-list --listen 127.0.0.1:0 --file none.json",
                    "configuration --listen 127.0.0.1:99999",
                    "configuration --listen",
                    "configuration --directory .",
                    "configuration --listen 127.0.0.1:0 --directory none",
                    copy + "--service tracker --slots 1 --graph none.toml",
                    copy + "--service parties --slots 1 --graph " + graph,
                    copy + "--service tracker --slots 1 --graph " + graph,
                    copy + "--service tracker --slots 1 --cold-start-milliseconds -1 --graph " + graph,
                    copy + "--service tracker --slots 10 --node-egress 127.0.0.1:1 --graph " + graph);
            for (String line : lines) {
                errors.writeBytes(("> " + line + "\n").getBytes(StandardCharsets.UTF_8));
                assertEquals(OptionalInt.of(2), run(line));
            }
            Approvals.verify(errors.toString(StandardCharsets.UTF_8));
        }
    }

    private OptionalInt run(String line) {
        List<String> arguments = line.isEmpty() ? List.of() : List.of(line.split(" "));
        return StandinMain.run(arguments, new PrintStream(output, true), new PrintStream(errors, true));
    }
}
