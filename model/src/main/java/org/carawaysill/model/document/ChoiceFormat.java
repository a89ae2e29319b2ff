package org.carawaysill.model.document;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * The format of an enum constant, written in lower case. Immutable and thread safe.
 *
 * @param type the enum
 * @param <E> the type of the enum
 */
public record ChoiceFormat<E extends Enum<E>>(Class<E> type) implements TextFormat<E> {

    @Override
    public E parse(String text) {
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> write(constant).equals(text))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("expected " + choices() + ", found \"" + text + '"'));
    }

    private String choices() {
        return Arrays.stream(type.getEnumConstants()).map(ChoiceFormat::write).collect(Collectors.joining(", "));
    }

    private static String write(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
