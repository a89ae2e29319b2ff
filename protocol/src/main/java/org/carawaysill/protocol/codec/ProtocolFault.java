package org.carawaysill.protocol.codec;

/**
 * What arrived is not a message of this protocol.
 *
 * <p>It has no stack trace, so that a flood of malformed input costs little. Immutable and thread safe.
 */
public final class ProtocolFault extends Exception {

    private static final long serialVersionUID = 1L;

    /** What is wrong with the input. */
    public enum Kind {
        /** The bytes are not protobuf of the expected type. */
        UNPARSABLE,
        /** The frame holds no message, or one that has no place here. */
        UNEXPECTED_FRAME,
        /** A required field is absent or blank. */
        MISSING,
        /** A number is outside its range. */
        OUT_OF_RANGE,
        /** An enumeration's value is not known. */
        UNKNOWN_CODE,
        /** A text holds characters that it must not. */
        BAD_TEXT,
        /** A body is longer or shorter than it states. */
        WRONG_LENGTH,
        /** A body's checksum does not fit its content. */
        WRONG_CHECKSUM
    }

    private final Kind kind;
    private final String field;

    /**
     * States a fault.
     *
     * @param kind what is wrong
     * @param field the field at which it is wrong
     */
    public ProtocolFault(Kind kind, String field) {
        super(kind + " at " + field, null, false, false);
        this.kind = kind;
        this.field = field;
    }

    /**
     * Tells what is wrong.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Tells where it is wrong.
     *
     * @return the field's name
     */
    public String field() {
        return field;
    }
}
