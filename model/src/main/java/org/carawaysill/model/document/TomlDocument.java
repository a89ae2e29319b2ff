package org.carawaysill.model.document;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.Optional;

/** Reads TOML text into tables that know their lines. Stateless and thread safe. */
public final class TomlDocument {

    /** The longest text that is read, in characters: what one value of the platform's service can hold. */
    public static final int MAXIMUM_LENGTH = 1 << 20;

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
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            faults.add(line, KeyPath.ROOT, "not valid TOML: " + e.getOriginalMessage());
            return Optional.empty();
        }
    }
}
