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
 * Determines which organisation a request belongs to, by the key that it presents.
 *
 * <p>An unknown key is refused on every route. A request without a key may use only routes that require none, which
 * holds for the keyless calls of copies too, so that omitting the key opens nothing. Invariant: if keys are checked, no
 * request is accepted under a key that is missing in the configuration in force. Not thread safe: owned by the policy.
 */
final class Identification {

    /**
     * If the configuration was not confirmed for this long, an unknown key may have been added meanwhile. The client is
     * then asked to retry, since a refusal of a key is final for it.
     */
    static final Duration CONFIRMED_WITHIN = Duration.ofSeconds(2);

    private final PublishedView view;

    Identification(PublishedView view) {
        this.view = view;
    }

    /** The result of identifying a request. Immutable and thread safe. */
    sealed interface Result {

        /**
         * The request is accepted.
         *
         * @param organisation the organisation whose key it carries; empty if it carries none, or if no keys are
         *     checked
         */
        record Accepted(Optional<Organisation> organisation) implements Result {}

        /**
         * The request is refused.
         *
         * @param reason the reason
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
        Optional<Organisation> holder = credential.key().flatMap(organisations.get()::findByKey);
        return holder.isPresent() ? new Result.Accepted(holder) : new Result.Refused(unknownKeyReason(now, credential));
    }

    private Optional<Organisations> organisations() {
        return view.configuration().flatMap(FleetConfiguration::organisations);
    }

    private RefusalReason unknownKeyReason(long now, Credential credential) {
        boolean mayBeNewer = credential.key().isPresent() && !view.isConfirmedWithin(now, CONFIRMED_WITHIN);
        return mayBeNewer ? RefusalReason.KEY_UNVERIFIED : RefusalReason.KEY_UNKNOWN;
    }

    /** Returns the request to forward: without its credential, unless no keys are checked here. */
    FleetEvent.RequestArrived toForward(FleetEvent.RequestArrived arrival) {
        if (!arrival.credential().isPresented()) {
            return arrival;
        }
        boolean checked = organisations().isPresent();
        return new FleetEvent.RequestArrived(
                arrival.exchange(),
                arrival.requestName(),
                arrival.host(),
                arrival.clientTimeout(),
                Credential.NONE,
                arrival.content()
                        .withHeaders(checked ? List.of() : arrival.credential().fields()));
    }
}
