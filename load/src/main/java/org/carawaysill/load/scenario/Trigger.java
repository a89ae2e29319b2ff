package org.carawaysill.load.scenario;

/** A disturbance during a run. Immutable and thread safe. */
public sealed interface Trigger {

    /**
     * Callers send more requests.
     *
     * @param factor the rate of all requests, as a multiple of the bottleneck's capacity
     */
    record Surge(double factor) implements Trigger {}

    /**
     * Every copy of the deep service slows down.
     *
     * @param factor the factor on its service time
     */
    record SlowService(double factor) implements Trigger {}

    /** One copy of the bottleneck goes down. */
    record CopyDown() implements Trigger {}

    /** The nodes of the first two availability zones can't reach each other. */
    record ZonesCut() implements Trigger {}
}
