package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.fleet.FleetConfiguration;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.fleet.Organisations;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.request.Credential;
import org.carawaysill.model.request.RefusalReason;

/**
 * Decides which organisation a request belongs to, by the key that it presents.
 *
 * <p>A key that nobody holds is refused on each route. Without a key only routes that require none are open: also to calls of
 * copies, which carry none, so that leaving the key out opens nothing. Invariant: where keys are checked, no request is
 * accepted under a key that the configuration in force doesn't hold. Not thread safe: owned by the policy.
 */
final class Identification {

    /**
     * A node that has not had its configuration confirmed for so long can't tell a key that nobody holds from one that was
     * added meanwhile. Its client is asked to come back, since a refusal of a key is final for it.
     */
    static final Duration CONFIRMED_WITHIN = Duration.ofSeconds(2);

    private final Beliefs beliefs;

    Identification(Beliefs beliefs) {
        this.beliefs = beliefs;
    }

    /** What a request turned out to be. Immutable and thread safe. */
    sealed interface Result {

        /**
         * It is accepted.
         *
         * @param organisation whose key it carries; empty where it carries none, or no keys are checked
         */
        record Accepted(Optional<Organisation> organisation) implements Result {}

        /**
         * It is refused.
         *
         * @param reason why
         */
        record Refused(RefusalReason reason) implements Result {}
    }

    Result identify(long now, Credential credential, Route route) {
        Optional<Organisations> organisations = organisations();
        if (organisations.isEmpty()) {
            return new Result.Accepted(Optional.empty());
        }
        if (!credential.isPresented()) {
            return route.keyRequired()
                    ? new Result.Refused(RefusalReason.KEY_MISSING)
                    : new Result.Accepted(Optional.empty());
        }
        Optional<Organisation> holder = credential.key().flatMap(organisations.get()::holderOf);
        return holder.isPresent() ? new Result.Accepted(holder) : new Result.Refused(unknown(now, credential));
    }

    private Optional<Organisations> organisations() {
        return beliefs.configuration().flatMap(FleetConfiguration::organisations);
    }

    private RefusalReason unknown(long now, Credential credential) {
        boolean mayBeNewer = credential.key().isPresent() && !beliefs.isConfirmedWithin(now, CONFIRMED_WITHIN);
        return mayBeNewer ? RefusalReason.KEY_UNVERIFIED : RefusalReason.KEY_UNKNOWN;
    }

    /** Returns a request as it goes on: without what it presents, unless no keys are checked here. */
    FleetEvent.RequestArrived toPass(FleetEvent.RequestArrived arrival) {
        if (!arrival.credential().isPresented()) {
            return arrival;
        }
        boolean checked = organisations().isPresent();
        return new FleetEvent.RequestArrived(
                arrival.exchange(),
                arrival.requestName(),
                arrival.host(),
                arrival.patience(),
                Credential.NONE,
                arrival.content()
                        .withHeaders(checked ? List.of() : arrival.credential().fields()));
    }
}
