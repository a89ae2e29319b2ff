package org.carawaysill.policy.distribution;

import org.carawaysill.model.configuration.ServiceConfiguration;

/** Checks a published document; gives the same verdict on every node. Implementations are thread safe. */
@FunctionalInterface
public interface DocumentParser {

    /**
     * Checks a document as a whole.
     *
     * @param text the published text
     * @param version the platform's version number
     * @return the configuration, or why it is refused
     */
    Verdict parse(String text, long version);

    /** The outcome of a check. Immutable and thread safe. */
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
         * @param message its faults, in one line
         */
        record Invalid(String message) implements Verdict {}
    }
}
