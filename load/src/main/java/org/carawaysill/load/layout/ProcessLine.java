package org.carawaysill.load.layout;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A process that the launcher starts.
 *
 * <p>Invariant: no part contains a tab or a line feed, so that a line can be split at tabs. Immutable and thread safe.
 *
 * @param name the name of the process and of its log file
 * @param program the program
 * @param arguments the program's arguments
 */
public record ProcessLine(String name, Program program, List<String> arguments) {

    private static final String SEPARATOR = "\t";

    public ProcessLine {
        arguments = List.copyOf(arguments);
        Stream.concat(Stream.of(name), arguments.stream()).forEach(ProcessLine::requireOneField);
    }

    /**
     * Creates a line.
     *
     * @param name the process's name
     * @param program the program
     * @param arguments the program's arguments
     * @return the line
     */
    public static ProcessLine of(String name, Program program, String... arguments) {
        return new ProcessLine(name, program, List.of(arguments));
    }

    /**
     * Returns the text of the line.
     *
     * @return name, program and arguments, separated by tabs
     */
    public String text() {
        return Stream.concat(Stream.of(name, program.text()), arguments.stream())
                .collect(Collectors.joining(SEPARATOR));
    }

    private static void requireOneField(String part) {
        if (part.contains(SEPARATOR) || part.contains("\n")) {
            throw new IllegalArgumentException("a part of a process line must not hold a tab or a line end");
        }
    }
}
