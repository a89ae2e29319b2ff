package org.carawaysill.standin.http;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;

/**
 * The JSON object in the body of a request, read with checks.
 *
 * <p>Invariant: holds no key but the expected ones. Not thread safe: used on the event loop only.
 */
public final class JsonBody {

    private final JsonObject object;

    private JsonBody(JsonObject object) {
        this.object = object;
    }

    /**
     * Reads the body of a request.
     *
     * @param context the request, its body read
     * @param keys the keys that may occur
     * @return the object
     * @throws BadRequestException if the body is no JSON object, or has another key
     */
    public static JsonBody read(RoutingContext context, String... keys) {
        JsonObject object = parse(context);
        Set<String> expected = Set.of(keys);
        for (String key : object.fieldNames()) {
            if (!expected.contains(key)) {
                throw new BadRequestException("unknown key \"" + key + "\"; known are " + Arrays.toString(keys));
            }
        }
        return new JsonBody(object);
    }

    private static JsonObject parse(RoutingContext context) {
        try {
            return Optional.ofNullable(context.body().asJsonObject())
                    .orElseThrow(() -> new BadRequestException("the body must be a JSON object"));
        } catch (DecodeException | ClassCastException e) {
            throw new BadRequestException("the body must be a JSON object");
        }
    }

    /**
     * Returns a string.
     *
     * @param key its key
     * @return the text, or empty where the key is absent
     */
    public Optional<String> text(String key) {
        return value(key, String.class, "a text");
    }

    /**
     * Returns a boolean.
     *
     * @param key its key
     * @return the value, or empty where the key is absent
     */
    public Optional<Boolean> flag(String key) {
        return value(key, Boolean.class, "true or false");
    }

    /**
     * Returns a number.
     *
     * @param key its key
     * @return the number, or empty where the key is absent
     */
    public Optional<Double> number(String key) {
        return value(key, Number.class, "a number").map(Number::doubleValue);
    }

    private <T> Optional<T> value(String key, Class<T> type, String description) {
        Object value = object.getValue(key);
        if (value == null) {
            return Optional.empty();
        }
        if (!type.isInstance(value)) {
            throw new BadRequestException("\"" + key + "\" must be " + description);
        }
        return Optional.of(type.cast(value));
    }
}
