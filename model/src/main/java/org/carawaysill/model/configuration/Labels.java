package org.carawaysill.model.configuration;

import java.util.Map;
import java.util.Optional;

/**
 * The operators' labels of a service, an operation or a caller.
 *
 * <p>Immutable and thread safe.
 *
 * @param values each label's key and value
 */
public record Labels(Map<String, String> values) {

    /** No labels. */
    public static final Labels NONE = new Labels(Map.of());

    public Labels {
        values = Map.copyOf(values);
    }

    /**
     * Looks up a label.
     *
     * @param key the label's key
     * @return its value
     */
    public Optional<String> value(String key) {
        return Optional.ofNullable(values.get(key));
    }
}
