package org.carawaysill.standin.upstream;

import io.vertx.core.json.JsonObject;
import org.carawaysill.standin.http.BadRequestException;
import org.carawaysill.standin.http.JsonBody;

/**
 * The faults of a copy at present.
 *
 * <p>Immutable and thread safe.
 *
 * @param slowdown the factor on its own work, more than 0
 * @param down whether it closes each connection without an answer
 * @param draining whether it refuses what is new and finishes what it has
 */
record Behaviour(double slowdown, boolean down, boolean draining) {

    /** A copy without faults. */
    static final Behaviour NORMAL = new Behaviour(1.0, false, false);

    /**
     * Reads the faults of a request.
     *
     * @param body the whole of them; what is absent is normal
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
