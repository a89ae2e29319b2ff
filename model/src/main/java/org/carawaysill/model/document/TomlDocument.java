package org.carawaysill.model.document;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.Optional;

/** Parses TOML text into tables that know their line numbers. Stateless and thread safe. */
public final class TomlDocument {

    /** The maximum length of a text in characters: the most that one value of the platform's service can hold. */
    public static final int MAXIMUM_LENGTH = 1 << 20;

    private static final String NOT_TOML = "not valid TOML: ";
    private static final String DUPLICATE_KEY = "Duplicate key";
    private static final TomlMapper MAPPER = new TomlMapper();

    private TomlDocument() {}

    /**
     * Parses a text.
     *
     * @param text the text
     * @param faults receives the first syntax error, after which a text can't be parsed further
     * @return the document's top-level table, or empty if a fault was added
     */
    public static Optional<TableReader> read(String text, FaultCollector faults) {
        if (text.length() > MAXIMUM_LENGTH) {
            faults.add(0, KeyPath.ROOT, "the document has more than " + MAXIMUM_LENGTH + " characters");
            return Optional.empty();
        }
        try {
            JsonNode tree = MAPPER.readTree(text);
            LocatedNode document = new LocatedNode(tree, KeyLocator.locate(text), KeyPath.ROOT);
            return Optional.of(new TableReader(document, faults));
        } catch (JsonProcessingException e) {
            faults.add(syntaxFault(text, e));
            return Optional.empty();
        }
    }

    /**
     * Locates a syntax error. Jackson detects a repeated key only after the blank lines and comments that follow its
     * value, at the next line with content, so the repeated key is the last field before that location.
     */
    private static Fault syntaxFault(String text, JsonProcessingException failure) {
        JsonLocation location = failure.getLocation();
        if (location == null) {
            return new Fault(0, KeyPath.ROOT, NOT_TOML + failure.getOriginalMessage());
        }
        if (DUPLICATE_KEY.equals(failure.getOriginalMessage())) {
            int end = (int) Math.min(location.getCharOffset(), text.length());
            Located<String> repeated = KeyLocator.lastField(text.substring(0, end));
            return new Fault(repeated.line(), repeated.key(), "this key stands twice in its table");
        }
        return new Fault(location.getLineNr(), KeyPath.ROOT, NOT_TOML + failure.getOriginalMessage());
    }
}
