package org.carawaysill.standin.configuration;

import java.util.Map;
import org.carawaysill.model.identity.ServiceName;

/** How the service currently answers its readers. Immutable and thread safe. */
sealed interface Fault {

    /** Answers at once with the current documents. */
    record Up() implements Fault {}

    /** Closes each reader's connection without an answer. */
    record Down() implements Fault {}

    /**
     * Answers after a delay.
     *
     * @param delayMilliseconds the delay
     */
    record Slow(long delayMilliseconds) implements Fault {}

    /**
     * Answers as if nothing had been published since the fault was set.
     *
     * @param documents the documents at the time when the fault was set
     */
    record Stale(Map<ServiceName, PublishedDocument> documents) implements Fault {}
}
