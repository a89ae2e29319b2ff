package org.carawaysill.standin.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/**
 * The answer of a copy: a JSON object by which the caller checks that the answer is complete and for its own request.
 *
 * <p>Immutable and thread safe.
 *
 * @param trace the trace identifier of the request, 32 hexadecimal digits; none if it had none
 * @param operation the operation's name
 * @param chain the services that handled the request, such as {@code issuer(parties(manifests),manifests)}
 */
record AnswerBody(String trace, String operation, String chain) {

    private static final String LENGTH_PREFIX = ",\"length\":";
    private static final String PADDING_PREFIX = ",\"padding\":\"";
    private static final String SUFFIX = "\"}";

    /**
     * Serializes the answer; its key {@code length} holds its length in bytes.
     *
     * @param minimumLength the minimum length in bytes
     * @return the bytes
     */
    Buffer encode(int minimumLength) {
        String head = "{\"trace\":\"" + trace + "\",\"operation\":\"" + operation + "\",\"chain\":\"" + chain + "\"";
        int fixed = head.length() + LENGTH_PREFIX.length() + PADDING_PREFIX.length() + SUFFIX.length();
        int length = Math.max(minimumLength, fixed + digits(fixed + digits(fixed)));
        int padding = length - fixed - digits(length);
        return Buffer.buffer(head + LENGTH_PREFIX + length + PADDING_PREFIX + "-".repeat(padding) + SUFFIX);
    }

    /**
     * Parses an answer.
     *
     * @param bytes the bytes
     * @return the answer, or empty if it is not complete
     */
    static Optional<AnswerBody> decode(Buffer bytes) {
        try {
            JsonObject object = bytes.toJsonObject();
            if (object.getInteger("length", 0) != bytes.length()) {
                return Optional.empty();
            }
            return Optional.of(new AnswerBody(
                    object.getString("trace", ""), object.getString("operation", ""), object.getString("chain", "")));
        } catch (DecodeException | ClassCastException e) {
            return Optional.empty();
        }
    }

    private static int digits(int number) {
        return Integer.toString(number).length();
    }
}
