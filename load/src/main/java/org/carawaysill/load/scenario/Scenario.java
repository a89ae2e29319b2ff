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

/** The scenarios of a run. Immutable and thread safe. */
public enum Scenario {
    /** Demand doubles. */
    SURGE(List.of(new Surge(2))),
    /** The deep service slows down. */
    SLOW(List.of(new SlowService(5))),
    /** Demand doubles and the deep service slows down. */
    BOTH(List.of(new Surge(2), new SlowService(5))),
    /** Demand doubles, the deep service slows down and a copy of the bottleneck goes down. */
    KILL(List.of(new Surge(2), new SlowService(5), new CopyDown())),
    /** Two availability zones can't reach each other while demand doubles. */
    ZONES(List.of(new Surge(2), new ZonesCut())),
    /** Demand doubles and the deep service slows down, while the configuration service is down during the whole run. */
    CONFIGURATION_DOWN(List.of(new Surge(2), new SlowService(5))),
    /** Demand doubles and the deep service slows down, twice in succession. */
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
     * Returns the names of all scenarios.
     *
     * @return the names, separated by commas
     */
    public static String names() {
        return Arrays.stream(values()).map(Scenario::text).collect(Collectors.joining(", "));
    }

    /**
     * Returns the name on the command line.
     *
     * @return the name in lower case, with hyphens
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the triggers of the scenario.
     *
     * @return the triggers, which all start and end together
     */
    public List<Trigger> triggers() {
        return triggers;
    }

    /**
     * Returns how often the triggers occur.
     *
     * @return the number of times
     */
    public int repetitions() {
        return this == TWICE ? 2 : 1;
    }

    /**
     * Returns whether the configuration service is down.
     *
     * @return true if it is down from before the first request until after the last
     */
    public boolean configurationDown() {
        return this == CONFIGURATION_DOWN;
    }

    /**
     * Returns the surge factor.
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
     * Returns the slowdown factor.
     *
     * @return the factor on the deep service's service time during the trigger; 1 if it does not change
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
