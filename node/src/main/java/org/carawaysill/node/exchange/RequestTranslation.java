package org.carawaysill.node.exchange;

import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.node.observation.BadRequest;
import org.carawaysill.policy.event.Event;

/** Translates complete requests into events. Implementations are immutable and thread safe. */
sealed interface RequestTranslation {

    /** The result of a translation. Immutable and thread safe. */
    sealed interface Translated {

        /**
         * The request became an event.
         *
         * @param event the event
         */
        record Work(Event event) implements Translated {}

        /**
         * The request is refused.
         *
         * @param kind what is wrong
         * @param detail what is wrong, in one line
         */
        record Bad(BadRequest kind, String detail) implements Translated {}
    }

    /**
     * Translates a request.
     *
     * @param exchange the exchange to answer
     * @param received the request as it was read
     * @return the event, or the reason for a refusal
     */
    Translated translate(ExchangeIdentifier exchange, ReceivedRequest received);

    /** Translates callers' requests. */
    record OfCaller() implements RequestTranslation {

        private static final CallerName ANONYMOUS = new CallerName("anonymous");

        @Override
        public Translated translate(ExchangeIdentifier exchange, ReceivedRequest received) {
            CallerName caller = received.header(CarawaysillHeaders.CALLER)
                    .map(CallerName::new)
                    .orElse(ANONYMOUS);
            Optional<String> key = received.header(CarawaysillHeaders.IDEMPOTENCY_KEY);
            return new Translated.Work(new Event.CallerRequest(exchange, caller, key, received.content()));
        }
    }

    /** Translates the local copy's own calls, at {@code /services/SERVICE/REST}. */
    record OfCopy() implements RequestTranslation {

        private static final String PATH_PREFIX = "/services/";

        @Override
        public Translated translate(ExchangeIdentifier exchange, ReceivedRequest received) {
            String path = received.content().path();
            int nameEnd = path.startsWith(PATH_PREFIX) ? serviceNameEnd(path) : PATH_PREFIX.length();
            if (nameEnd == PATH_PREFIX.length()) {
                return new Translated.Bad(BadRequest.NO_SERVICE_IN_PATH, "the path is not /services/SERVICE/...");
            }
            ServiceName target = new ServiceName(path.substring(PATH_PREFIX.length(), nameEnd));
            Optional<AttemptIdentifier> parent =
                    received.header(CarawaysillHeaders.ATTEMPT).flatMap(OfCopy::attempt);
            return new Translated.Work(new Event.CopyCall(
                    exchange, target, parent, withPath(received.content(), path.substring(nameEnd))));
        }

        private static int serviceNameEnd(String path) {
            int end = PATH_PREFIX.length();
            while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
                end++;
            }
            return end;
        }

        private static RequestContent withPath(RequestContent content, String rest) {
            String path = rest.startsWith("/") ? rest : "/" + rest;
            return new RequestContent(content.method(), path, content.headers(), content.body());
        }

        /**
         * Parses an attempt. A malformed attempt is treated as missing: the call then gets the lowest priority and no
         * retries.
         */
        private static Optional<AttemptIdentifier> attempt(String text) {
            try {
                return Optional.of(AttemptIdentifier.parse(text));
            } catch (IllegalArgumentException malformed) {
                return Optional.empty();
            }
        }
    }
}
