package org.carawaysill.model.identity;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The SHA-256 digest of an organisation's key.
 *
 * <p>Only digests of keys are kept and compared, so that neither a dump of the memory nor the time of a comparison tells
 * anything of a key. Invariant: never shows a part of the key or of the digest as text. Immutable and thread safe.
 */
public final class KeyDigest {

    private static final String ALGORITHM = "SHA-256";

    private final byte[] digest;

    private KeyDigest(byte[] digest) {
        this.digest = digest;
    }

    /**
     * Digests a key.
     *
     * @param key the bytes of the key
     * @return its digest
     */
    public static KeyDigest of(byte[] key) {
        try {
            return new KeyDigest(MessageDigest.getInstance(ALGORITHM).digest(key));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("each Java platform has " + ALGORITHM, missing);
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest that && MessageDigest.isEqual(digest, that.digest);
    }

    @Override
    public int hashCode() {
        return ByteBuffer.wrap(digest).getInt();
    }

    @Override
    public String toString() {
        return "KeyDigest";
    }
}
