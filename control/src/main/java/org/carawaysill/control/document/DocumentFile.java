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
 * Reads files for an operator and complains in one line each. Thread safe as far as the error stream is.
 *
 * @param errors receives the complaints
 */
public record DocumentFile(PrintStream errors) {

    /**
     * Reads a file.
     *
     * @param file the file
     * @return its text, or empty after a complaint
     */
    public Optional<String> read(Path file) {
        try {
            return Optional.of(Files.readString(file));
        } catch (NoSuchFileException e) {
            complain(file, "no such file");
        } catch (CharacterCodingException e) {
            complain(file, "not a text in UTF-8");
        } catch (IOException e) {
            complain(file, "can't be read: " + e.getMessage());
        }
        return Optional.empty();
    }

    /**
     * Gives what a document states, or writes its faults, each as {@code FILE:LINE: KEY: MESSAGE}.
     *
     * @param file the document's file
     * @param result what reading it came to
     * @param <T> the type of what it states
     * @return what it states, or empty after the complaints
     */
    public <T> Optional<T> valueOrComplaints(Path file, ParseResult<T> result) {
        return switch (result) {
            case ParseResult.Valid<T> valid -> Optional.of(valid.value());
            case ParseResult.Invalid<T> invalid -> {
                invalid.faults().forEach(fault -> errors.println(file + ":" + fault));
                yield Optional.empty();
            }
        };
    }

    private void complain(Path file, String message) {
        errors.println(file + ": " + message);
    }
}
