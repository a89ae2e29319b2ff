package org.carawaysill.model.document;

import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * The format of a name that can be used in a URL, a header and a metric label without quoting. Immutable and thread
 * safe.
 *
 * @param constructor creates the typed name
 * @param <T> the type of the name
 */
public record NameFormat<T>(Function<String, T> constructor) implements TextFormat<T> {

    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    @Override
    public T parse(String text) {
        if (!PATTERN.matcher(text).matches()) {
            throw new IllegalArgumentException(
                    "expected a name of 1 to 64 letters, digits, dots, hyphens and underscores that starts with a letter"
                            + " or a digit, found \"" + text + '"');
        }
        return constructor.apply(text);
    }
}
