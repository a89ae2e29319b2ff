package org.carawaysill.policy.distribution;

import org.carawaysill.model.configuration.ServiceConfiguration;

/** Checks a published document, with the same result on every node. Implementations are thread safe. */
@FunctionalInterface
public interface DocumentParser {

    /**
     * Parses and checks a document as a whole.
     *
     * @param text the published text
     * @param version the platform's version number
     * @return the configuration, or the reason for the refusal
     */
    Verdict parse(String text, long version);

    /** The result of a check. Immutable and thread safe. */
    sealed interface Verdict {

        /**
         * The document passed.
         *
         * @param configuration its content
         */
        record Valid(ServiceConfiguration configuration) implements Verdict {}

        /**
         * The document is refused.
         *
         * @param message its faults in one line
         */
        record Invalid(String message) implements Verdict {}
    }
}
