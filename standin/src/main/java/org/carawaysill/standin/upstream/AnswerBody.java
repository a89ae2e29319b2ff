package org.carawaysill.standin.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/**
 * What a copy answers: a JSON object from which the caller sees that the answer is its own and complete.
 *
 * <p>Immutable and thread safe.
 *
 * @param trace the trace identifier of the request, 32 hexadecimal digits; none if it had none
 * @param operation the operation's name
 * @param chain the services that took part, such as {@code issuer(parties(manifests),manifests)}
 */
record AnswerBody(String trace, String operation, String chain) {

    private static final String LENGTH_PREFIX = ",\"length\":";
    private static final String PADDING_PREFIX = ",\"padding\":\"";
    private static final String SUFFIX = "\"}";

    /**
     * Writes the answer; its key {@code length} states the number of its bytes.
     *
     * @param leastLength how many bytes it has at least
     * @return the bytes
     */
    Buffer encode(int leastLength) {
        String head = "{\"trace\":\"" + trace + "\",\"operation\":\"" + operation + "\",\"chain\":\"" + chain + "\"";
        int fixed = head.length() + LENGTH_PREFIX.length() + PADDING_PREFIX.length() + SUFFIX.length();
        int length = Math.max(leastLength, fixed + digits(fixed + digits(fixed)));
        int padding = length - fixed - digits(length);
        return Buffer.buffer(head + LENGTH_PREFIX + length + PADDING_PREFIX + "-".repeat(padding) + SUFFIX);
    }

    /**
     * Reads an answer.
     *
     * @param bytes the bytes
     * @return the answer, or empty where it is not complete
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
