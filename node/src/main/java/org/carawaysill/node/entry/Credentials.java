package org.carawaysill.node.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.KeyDigest;
import org.carawaysill.model.request.Credential;
import org.carawaysill.model.request.Header;

/**
 * Reads the key from the Authorization header field of a request: a scheme, spaces and the key (RFC 9110, section
 * 11.6.2).
 *
 * <p>Invariant: if there are several fields, none is read, since other readers on the path might choose a different
 * one. Stateless and thread safe.
 */
final class Credentials {

    private static final char SPACE = ' ';

    private Credentials() {}

    static Credential of(HttpHeaders headers, String scheme) {
        List<String> values = headers.getAll(HttpHeaderNames.AUTHORIZATION);
        if (values.isEmpty()) {
            return Credential.NONE;
        }
        List<Header> fields =
                values.stream().map(value -> new Header("Authorization", value)).toList();
        Optional<String> key = values.size() == 1 ? key(values.getFirst(), scheme) : Optional.empty();
        return new Credential(fields, key.map(text -> KeyDigest.of(text.getBytes(StandardCharsets.ISO_8859_1))));
    }

    private static Optional<String> key(String value, String scheme) {
        String stripped = value.strip();
        int space = stripped.indexOf(SPACE);
        if (space < 0 || !stripped.substring(0, space).equalsIgnoreCase(scheme)) {
            return Optional.empty();
        }
        String key = stripped.substring(space).strip();
        return key.isEmpty() || key.indexOf(SPACE) >= 0 ? Optional.empty() : Optional.of(key);
    }
}
