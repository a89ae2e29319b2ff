package org.carawaysill.load.run;

import java.time.Duration;
import org.carawaysill.load.client.ClientSettings;
import org.carawaysill.load.scenario.Scenario;
import org.carawaysill.load.scenario.Timeline;
import org.carawaysill.load.schedule.ArrivalSchedule;
import org.carawaysill.load.schedule.Rates;
import org.carawaysill.load.site.Site;

/**
 * Settings of a run.
 *
 * <p>Immutable and thread safe.
 *
 * @param policy the name of the policy under test, for reports
 * @param site the site
 * @param scenario the scenario
 * @param seed the seed of all random draws
 * @param seconds the length of the run
 * @param clients the timeout and retry settings of callers
 * @param readyWithin how long to wait until the site's processes serve
 */
public record RunSettings(
        String policy,
        Site site,
        Scenario scenario,
        long seed,
        int seconds,
        ClientSettings clients,
        Duration readyWithin) {

    /**
     * Returns the phases.
     *
     * @return the phases
     */
    public Timeline timeline() {
        return Timeline.of(scenario, seconds);
    }

    /**
     * Returns the rates.
     *
     * @return the rates
     */
    public Rates rates() {
        return new Rates(site, scenario, timeline());
    }

    /**
     * Returns the schedule of arrivals.
     *
     * @return the schedule
     */
    public ArrivalSchedule schedule() {
        return new ArrivalSchedule(rates(), seed);
    }
}
