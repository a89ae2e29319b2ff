package org.carawaysill.load.scenario;

/** One thing that goes wrong during a run. Immutable and thread safe. */
public sealed interface Trigger {

    /**
     * Callers send more.
     *
     * @param factor the rate of all requests, as a multiple of what the bottleneck serves
     */
    record Surge(double factor) implements Trigger {}

    /**
     * Every copy of the deep service works slowly.
     *
     * @param factor how many times longer its work takes
     */
    record SlowService(double factor) implements Trigger {}

    /** One copy of the bottleneck goes down. */
    record CopyDown() implements Trigger {}

    /** The nodes of the first two availability zones can't reach each other. */
    record ZonesCut() implements Trigger {}
}
