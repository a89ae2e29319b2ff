package org.carawaysill.policy.fleet.body;

import java.util.Set;
import org.carawaysill.model.fleet.RequestKind;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.request.Body;
import org.carawaysill.policy.fleet.mechanism.Mechanism;

/**
 * Decides which bodies are sent to another node only once it has granted a place for them.
 *
 * <p>Guards against a large body that crosses a link with each attempt that is refused. Immutable and thread safe.
 */
public final class LargeBodies {

    /** The least size of a body that is sent later: a smaller one costs less than one more message each way. */
    public static final int LARGE_BYTES = 4 * 1024;

    private final boolean enabled;

    /**
     * Creates the rule of one node.
     *
     * @param disabledMechanisms the mechanisms that are switched off
     */
    public LargeBodies(Set<Mechanism> disabledMechanisms) {
        enabled = !disabledMechanisms.contains(Mechanism.BODY_PLACES);
    }

    /**
     * Returns whether the body of a request for a copy on another VM follows its request.
     *
     * @param route the request's route
     * @param body its body
     * @return whether the request is sent without it
     */
    public boolean follows(Route route, Body body) {
        return countsBody(route) && body.length() >= LARGE_BYTES;
    }

    /** Returns whether the bodies of a route's requests count in the choice of a copy. */
    boolean countsBody(Route route) {
        return enabled && route.kind() == RequestKind.UPLOAD;
    }
}
