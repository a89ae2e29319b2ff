package org.carawaysill.protocol.codec;

/**
 * Signals input that is not a valid message of this protocol.
 *
 * <p>It has no stack trace, so that rejecting a flood of malformed input stays cheap. Immutable and thread safe.
 */
public final class ProtocolFault extends Exception {

    private static final long serialVersionUID = 1L;

    /** What is wrong with the input. */
    public enum Kind {
        /** The bytes are not protobuf of the expected type. */
        UNPARSABLE,
        /** The frame holds no message, or one that is not expected at this point. */
        UNEXPECTED_FRAME,
        /** A required field is absent or blank. */
        MISSING,
        /** A number is outside its range. */
        OUT_OF_RANGE,
        /** An enum value is unknown. */
        UNKNOWN_CODE,
        /** A text contains characters that are not allowed in it. */
        BAD_TEXT,
        /** A body's length differs from the length stated with it. */
        WRONG_LENGTH,
        /** A body's checksum does not match its content. */
        WRONG_CHECKSUM
    }

    private final Kind kind;
    private final String field;

    /**
     * Creates a fault.
     *
     * @param kind what is wrong
     * @param field the name of the invalid field
     */
    public ProtocolFault(Kind kind, String field) {
        super(kind + " at " + field, null, false, false);
        this.kind = kind;
        this.field = field;
    }

    /**
     * Returns what is wrong.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the name of the invalid field.
     *
     * @return the field's name
     */
    public String field() {
        return field;
    }
}
