package org.carawaysill.control;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What one run of the program wrote and ended with.
 *
 * @param status what it ended with
 * @param output what it wrote to the output
 * @param errors what it wrote to the error stream, line by line
 */
record Run(ExitStatus status, String output, List<String> errors) {

    static Run of(String... arguments) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        ExitStatus status = new ControlProgram(stream(output), stream(errors)).run(arguments);
        return new Run(
                status,
                output.toString(StandardCharsets.UTF_8),
                errors.toString(StandardCharsets.UTF_8).lines().toList());
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }
}
