package org.carawaysill.control.document;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Optional;
import org.carawaysill.model.document.ParseResult;

/**
 * Reads files and reports each error to the operator in one line. Thread safe if the error stream is.
 *
 * @param errors receives the error messages
 */
public record DocumentReader(PrintStream errors) {

    /**
     * Reads a file.
     *
     * @param file the file
     * @return its text, or empty after an error was reported
     */
    public Optional<String> read(Path file) {
        try {
            return Optional.of(Files.readString(file));
        } catch (NoSuchFileException e) {
            reportError(file, "no such file");
        } catch (CharacterCodingException e) {
            reportError(file, "not a text in UTF-8");
        } catch (IOException e) {
            reportError(file, "can't be read: " + e.getMessage());
        }
        return Optional.empty();
    }

    /**
     * Returns the content of a document, or reports its faults, each as {@code FILE:LINE: KEY: MESSAGE}.
     *
     * @param file the document's file
     * @param result the result of parsing it
     * @param <T> the type of the content
     * @return the content, or empty after the faults were reported
     */
    public <T> Optional<T> valueOrReportFaults(Path file, ParseResult<T> result) {
        return switch (result) {
            case ParseResult.Valid<T> valid -> Optional.of(valid.value());
            case ParseResult.Invalid<T> invalid -> {
                invalid.faults().forEach(fault -> errors.println(file + ":" + fault));
                yield Optional.empty();
            }
        };
    }

    private void reportError(Path file, String message) {
        errors.println(file + ": " + message);
    }
}
