package org.carawaysill.policy.ownership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.regex.Pattern;
import org.carawaysill.model.identity.RequestIdentifier;

/**
 * Parses and derives idempotency keys.
 *
 * <p>Invariant: the same text gives the same identifier on every node; two texts give the same identifier only if they
 * are the same UUID of version 7, or if 128 bits of SHA-256 collide. Stateless and thread safe.
 */
public final class KeyReader {

    private static final Pattern UUID_TEXT =
            Pattern.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");
    private static final int TIME_SHIFT = 16;

    private KeyReader() {}

    /**
     * Parses a key as a caller sent it.
     *
     * @param text the key
     * @return the request, and the minting time for a UUID of version 7 (RFC 9562, section 5.7)
     */
    public static RequestKey read(String text) {
        if (!UUID_TEXT.matcher(text).matches()) {
            return new RequestKey(digest(text), OptionalLong.empty());
        }
        UUID uuid = UUID.fromString(text);
        long mintedMillis = uuid.getMostSignificantBits() >>> TIME_SHIFT;
        return new RequestKey(
                new RequestIdentifier(uuid.getMostSignificantBits(), uuid.getLeastSignificantBits()),
                OptionalLong.of(mintedMillis));
    }

    /**
     * Derives the key of a call that a copy makes while it runs a request.
     *
     * @param parent the key of the request that it runs
     * @param call a text that distinguishes this call from the copy's other calls for the same request and is the same at
     * each repeat
     * @return the call's key, with the minting time of the parent
     */
    public static RequestKey derive(RequestKey parent, String call) {
        return new RequestKey(digest(parent.request() + " " + call), parent.mintedMillis());
    }

    private static RequestIdentifier digest(String text) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            ByteBuffer buffer = ByteBuffer.wrap(hash);
            return new RequestIdentifier(buffer.getLong(), buffer.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
