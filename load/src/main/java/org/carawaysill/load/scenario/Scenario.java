package org.carawaysill.load.scenario;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.carawaysill.load.scenario.Trigger.CopyDown;
import org.carawaysill.load.scenario.Trigger.SlowService;
import org.carawaysill.load.scenario.Trigger.Surge;
import org.carawaysill.load.scenario.Trigger.ZonesCut;

/** The scenarios that a run can play. Immutable and thread safe. */
public enum Scenario {
    /** Demand doubles. */
    SURGE(List.of(new Surge(2))),
    /** The deep service slows down. */
    SLOW(List.of(new SlowService(5))),
    /** Both at once. */
    BOTH(List.of(new Surge(2), new SlowService(5))),
    /** Both at once, and a copy of the bottleneck goes down. */
    KILL(List.of(new Surge(2), new SlowService(5), new CopyDown())),
    /** Two availability zones are cut off from each other during a surge. */
    ZONES(List.of(new Surge(2), new ZonesCut())),
    /** Both at once, with the configuration service down from before the first request. */
    CONFIGURATION_DOWN(List.of(new Surge(2), new SlowService(5))),
    /** Both at once, twice. */
    TWICE(List.of(new Surge(2), new SlowService(5)));

    private final List<Trigger> triggers;

    Scenario(List<Trigger> triggers) {
        this.triggers = triggers;
    }

    /**
     * Finds a scenario.
     *
     * @param text its name, such as {@code configuration-down}
     * @return the scenario, if there is one
     */
    public static Optional<Scenario> named(String text) {
        return Arrays.stream(values())
                .filter(scenario -> scenario.text().equals(text))
                .findFirst();
    }

    /**
     * Lists the names.
     *
     * @return all names with commas between
     */
    public static String names() {
        return Arrays.stream(values()).map(Scenario::text).collect(Collectors.joining(", "));
    }

    /**
     * Gives the name on the command line.
     *
     * @return the name in lower case, with hyphens
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Lists what goes wrong.
     *
     * @return what starts at the trigger's start and ends at its end
     */
    public List<Trigger> triggers() {
        return triggers;
    }

    /**
     * Tells how often the trigger comes.
     *
     * @return the number of times
     */
    public int repetitions() {
        return this == TWICE ? 2 : 1;
    }

    /**
     * Tells whether the configuration service is down.
     *
     * @return true if it is down from before the first request until after the last
     */
    public boolean configurationDown() {
        return this == CONFIGURATION_DOWN;
    }

    /**
     * Gives the surge.
     *
     * @return the rate during the trigger as a multiple of the bottleneck's capacity, if it changes
     */
    public Optional<Double> surgeFactor() {
        return triggers.stream()
                .filter(Surge.class::isInstance)
                .map(Surge.class::cast)
                .map(Surge::factor)
                .findFirst();
    }

    /**
     * Gives the slowdown.
     *
     * @return how many times longer the deep service's work takes during the trigger; 1 if it does not change
     */
    public double slowdown() {
        return triggers.stream()
                .filter(SlowService.class::isInstance)
                .map(SlowService.class::cast)
                .mapToDouble(SlowService::factor)
                .findFirst()
                .orElse(1);
    }
}
