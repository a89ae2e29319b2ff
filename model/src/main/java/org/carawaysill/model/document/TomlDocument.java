package org.carawaysill.model.document;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.Optional;

/** Reads TOML text into tables that know their lines. Stateless and thread safe. */
public final class TomlDocument {

    /** The longest text that is read, in characters: what one value of the platform's service can hold. */
    public static final int MAXIMUM_LENGTH = 1 << 20;

    private static final String NOT_TOML = "not valid TOML: ";
    private static final String DUPLICATE_KEY = "Duplicate key";
    private static final TomlMapper MAPPER = new TomlMapper();

    private TomlDocument() {}

    /**
     * Reads a text.
     *
     * @param text the text
     * @param faults receives the first fault of syntax, after which a text can't be read on
     * @return the document's top-level table, or empty where a fault was added
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
     * Places a fault of syntax. Jackson notices a repeated key only after the blanks and comments that follow its value,
     * at the next line that states something, so that the repeated key is the last field before that place.
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
