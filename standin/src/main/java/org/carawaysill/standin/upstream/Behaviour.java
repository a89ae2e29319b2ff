package org.carawaysill.standin.upstream;

import io.vertx.core.json.JsonObject;
import org.carawaysill.standin.http.BadRequestException;
import org.carawaysill.standin.http.JsonBody;

/**
 * The current faults of a copy.
 *
 * <p>Immutable and thread safe.
 *
 * @param slowdown the factor on its service time, more than 0
 * @param down whether it closes each connection without an answer
 * @param draining whether it refuses new requests and finishes those that it has
 */
record Behaviour(double slowdown, boolean down, boolean draining) {

    /** A copy without faults. */
    static final Behaviour NORMAL = new Behaviour(1.0, false, false);

    /**
     * Parses the faults in the body of a request.
     *
     * @param body all faults; an absent key stands for no such fault
     * @return the faults
     */
    static Behaviour of(JsonBody body) {
        double slowdown = body.number("slowdown").orElse(NORMAL.slowdown);
        if (!(slowdown > 0)) {
            throw new BadRequestException("\"slowdown\" must be more than 0");
        }
        return new Behaviour(
                slowdown,
                body.flag("down").orElse(NORMAL.down),
                body.flag("draining").orElse(NORMAL.draining));
    }

    JsonObject toJson() {
        return new JsonObject().put("slowdown", slowdown).put("down", down).put("draining", draining);
    }
}
