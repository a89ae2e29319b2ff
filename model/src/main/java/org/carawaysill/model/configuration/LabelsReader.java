package org.carawaysill.model.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;
import org.carawaysill.model.document.FaultCollector;
import org.carawaysill.model.document.Located;
import org.carawaysill.model.document.TableReader;

/**
 * Reads the operators' labels of a service, an operation or a caller.
 *
 * <p>Immutable and thread safe, except for the collector.
 *
 * @param reservedKey the key that is reserved for the name of the labelled object
 * @param faults receives the faults
 */
record LabelsReader(String reservedKey, FaultCollector faults) {

    private static final Pattern KEY = Pattern.compile("[A-Za-z0-9_-]{1,64}");
    private static final int MAXIMUM_VALUE_LENGTH = 128;

    Labels read(TableReader table) {
        Map<String, String> labels = new HashMap<>();
        table.textTable("labels").forEach((key, value) -> {
            check(key, value);
            labels.put(key, value.value());
        });
        return new Labels(labels);
    }

    private void check(String key, Located<String> value) {
        if (!KEY.matcher(key).matches()) {
            fault(value, "a label's key has 1 to 64 letters, digits, hyphens and underscores");
        }
        if (key.equals(reservedKey)) {
            fault(value, "the label " + reservedKey + " is set by the name and can't be stated");
        }
        if (value.value().isBlank() || value.value().length() > MAXIMUM_VALUE_LENGTH) {
            fault(value, "a label's value has 1 to " + MAXIMUM_VALUE_LENGTH + " characters and is not blank");
        }
    }

    private void fault(Located<String> value, String message) {
        faults.add(value.line(), value.key(), message);
    }
}
