package org.carawaysill.model.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.AbstractList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Objects;

/**
 * Header fields that take hardly more memory than their characters, however many there are.
 *
 * <p>The fields are decoded again each time they are read. Access by position is as slow as reading all fields in front.
 * Immutable and thread safe.
 */
public final class HeaderFields extends AbstractList<Header> {

    /** No fields. */
    public static final HeaderFields NONE = new HeaderFields(new byte[0], 0);

    private static final int BITS_PER_BYTE_OF_LENGTH = 7;
    private static final int LENGTH_MASK = (1 << BITS_PER_BYTE_OF_LENGTH) - 1;
    private static final int LENGTH_CONTINUES = 1 << BITS_PER_BYTE_OF_LENGTH;

    /** For each field the length of its name, its name, the length of its value, and its value. */
    private final byte[] encoded;

    private final int count;

    private HeaderFields(byte[] encoded, int count) {
        this.encoded = encoded;
        this.count = count;
    }

    /**
     * Returns the fields of a list, in its order.
     *
     * @param fields the fields
     * @return the same fields
     */
    public static HeaderFields copyOf(List<Header> fields) {
        if (fields instanceof HeaderFields compact) {
            return compact;
        }
        if (fields.isEmpty()) {
            return NONE;
        }
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        for (Header field : fields) {
            write(output, field.name());
            write(output, field.value());
        }
        return new HeaderFields(output.toByteArray(), fields.size());
    }

    private static void write(ByteArrayOutputStream output, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = bytes.length;
        while (length > LENGTH_MASK) {
            output.write(length & LENGTH_MASK | LENGTH_CONTINUES);
            length >>>= BITS_PER_BYTE_OF_LENGTH;
        }
        output.write(length);
        output.writeBytes(bytes);
    }

    /**
     * Returns how much memory the fields take.
     *
     * @return the size of their encoded form in bytes
     */
    public int byteCount() {
        return encoded.length;
    }

    @Override
    public int size() {
        return count;
    }

    @Override
    public Header get(int index) {
        Objects.checkIndex(index, count);
        Reader reader = new Reader();
        for (int skipped = 0; skipped < index; skipped++) {
            reader.next();
        }
        return reader.next();
    }

    @Override
    public Iterator<Header> iterator() {
        return new Reader();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof HeaderFields fields ? Arrays.equals(encoded, fields.encoded) : super.equals(other);
    }

    @Override
    public int hashCode() {
        return super.hashCode();
    }

    /** Decodes the fields one after another. Not thread safe. */
    private final class Reader implements Iterator<Header> {

        private int position;

        @Override
        public boolean hasNext() {
            return position < encoded.length;
        }

        @Override
        public Header next() {
            if (!hasNext()) {
                throw new NoSuchElementException();
            }
            String name = readText();
            return new Header(name, readText());
        }

        private String readText() {
            int length = readLength();
            String text = new String(encoded, position, length, StandardCharsets.UTF_8);
            position += length;
            return text;
        }

        private int readLength() {
            int length = 0;
            int shift = 0;
            while ((encoded[position] & LENGTH_CONTINUES) != 0) {
                length |= (encoded[position++] & LENGTH_MASK) << shift;
                shift += BITS_PER_BYTE_OF_LENGTH;
            }
            return length | encoded[position++] << shift;
        }
    }
}
