package org.carawaysill.policy.fleet;

import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.BodyCount;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.policy.fleet.body.HeldPlaces;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.message.PeerMessage;

/**
 * Asks for the bodies of requests that have got a slot of the local copy without them, and counts what becomes of the
 * slots.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class BodyPlaces {

    private final Effects effects;
    private final HeldPlaces places = new HeldPlaces();

    BodyPlaces(Effects effects) {
        this.effects = effects;
    }

    /** Holds the slot of a request until a time at the latest, and asks for its body. */
    void grant(long now, LocalRun run, long latestNanos) {
        places.grant(now, run, latestNanos);
        effects.count(BodyCount.PLACE_GRANTED);
        effects.add(new FleetEffect.SendToPeer(
                sender(run), new PeerMessage.PlaceGranted(run.request().attempt())));
    }

    private static NodeName sender(LocalRun run) {
        return run.sender().orElseThrow(() -> new IllegalStateException("a body of this node follows: " + run));
    }

    /**
     * Ends the wait for a body that has arrived.
     *
     * @param found the request of the body's attempt
     * @param from the node that sent the body
     * @return the request, empty if no body of it is awaited from that node
     */
    Optional<LocalRun> bodyArrived(Optional<LocalRun> found, NodeName from) {
        Optional<LocalRun> held =
                found.filter(LocalRun::holdsPlace).filter(run -> sender(run).equals(from));
        held.ifPresentOrElse(places::release, () -> effects.count(BodyCount.BODY_IGNORED));
        return held;
    }

    /** Notes that the slot of a request is given up, if it is held for a body. */
    void ended(long now, LocalRun run, BodyCount counted, RefusalReason reason) {
        if (run.holdsPlace()) {
            effects.count(counted);
            effects.log(new Decision.PlaceEnded(
                    run.request().requestName(), sender(run), reason, now - places.grantedNanos(run)));
            places.release(run);
        }
    }

    List<LocalRun> all() {
        return places.all();
    }

    List<LocalRun> lapsed(long now) {
        return places.lapsed(now);
    }

    long nextNanos() {
        return places.nextNanos();
    }
}
