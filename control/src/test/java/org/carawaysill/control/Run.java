package org.carawaysill.control;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The output and the exit status of one run of the program.
 *
 * @param status the exit status
 * @param output the text written to the output
 * @param errors the lines written to the error stream
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
