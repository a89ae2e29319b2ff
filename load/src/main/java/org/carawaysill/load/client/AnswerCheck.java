package org.carawaysill.load.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/** Checks that an answer is complete and answers the request that was sent. Stateless and thread safe. */
final class AnswerCheck {

    private AnswerCheck() {}

    static Optional<AnswerFault> check(String traceIdentifier, Buffer body) {
        try {
            JsonObject answer = new JsonObject(body);
            if (!traceIdentifier.equals(answer.getString("trace"))) {
                return Optional.of(AnswerFault.FOREIGN);
            }
            return answer.getInteger("length", 0) == body.length()
                    ? Optional.empty()
                    : Optional.of(AnswerFault.TRUNCATED);
        } catch (DecodeException | ClassCastException e) {
            return Optional.of(AnswerFault.GARBLED);
        }
    }
}
