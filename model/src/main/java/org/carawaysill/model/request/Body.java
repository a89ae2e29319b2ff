package org.carawaysill.model.request;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The bytes of a request or an answer.
 *
 * <p>Invariant: the bytes never change; the body owns the array passed to it. Immutable and thread safe.
 */
public final class Body {

    /** A body of no bytes. */
    public static final Body EMPTY = new Body(new byte[0]);

    private final byte[] bytes;

    private Body(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Wraps bytes without copying them.
     *
     * @param bytes the bytes, which the caller must not modify afterwards
     * @return the body
     */
    public static Body wrap(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Body(bytes);
    }

    /**
     * Encodes text as UTF-8.
     *
     * @param text the text
     * @return the body
     */
    public static Body ofText(String text) {
        return wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the bytes themselves, which must not be modified.
     *
     * @return the bytes, not a copy
     */
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the length.
     *
     * @return the number of bytes
     */
    public int length() {
        return bytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Body that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Body[" + bytes.length + " bytes]";
    }
}
