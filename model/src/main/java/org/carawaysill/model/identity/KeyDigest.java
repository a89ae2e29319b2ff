package org.carawaysill.model.identity;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The SHA-256 digest of an organisation's key.
 *
 * <p>Only digests of keys are stored and compared, so that neither a memory dump nor the duration of a comparison
 * reveals anything about a key. Invariant: its text form contains no part of the key or the digest. Immutable and
 * thread safe.
 */
public final class KeyDigest {

    private static final String ALGORITHM = "SHA-256";

    private final byte[] digest;

    private KeyDigest(byte[] digest) {
        this.digest = digest;
    }

    /**
     * Computes the digest of a key.
     *
     * @param key the bytes of the key
     * @return its digest
     */
    public static KeyDigest of(byte[] key) {
        try {
            return new KeyDigest(MessageDigest.getInstance(ALGORITHM).digest(key));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(ALGORITHM + " is not available", missing);
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
