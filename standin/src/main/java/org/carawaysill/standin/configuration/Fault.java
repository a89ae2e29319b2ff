package org.carawaysill.standin.configuration;

import java.util.Map;
import org.carawaysill.model.identity.ServiceName;

/** How the service answers its readers at present. Immutable and thread safe. */
sealed interface Fault {

    /** It answers at once and truly. */
    record Up() implements Fault {}

    /** It closes each reader's connection without an answer. */
    record Down() implements Fault {}

    /**
     * It answers late.
     *
     * @param delayMilliseconds how late
     */
    record Slow(long delayMilliseconds) implements Fault {}

    /**
     * It answers as if nothing had been published since the fault was set.
     *
     * @param documents the documents of that moment
     */
    record Stale(Map<ServiceName, PublishedDocument> documents) implements Fault {}
}
