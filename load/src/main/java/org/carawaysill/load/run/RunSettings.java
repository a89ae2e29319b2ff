package org.carawaysill.load.run;

import java.time.Duration;
import org.carawaysill.load.client.ClientSettings;
import org.carawaysill.load.scenario.Scenario;
import org.carawaysill.load.scenario.Timeline;
import org.carawaysill.load.schedule.ArrivalSchedule;
import org.carawaysill.load.schedule.Rates;
import org.carawaysill.load.site.Site;

/**
 * What one run does.
 *
 * <p>Immutable and thread safe.
 *
 * @param policy the name of the policy under test, for reports
 * @param site the site
 * @param scenario what it plays
 * @param seed the seed of all its draws
 * @param seconds its length
 * @param clients how patient callers are
 * @param readyWithin how long to wait for the site's processes to serve
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
     * Gives the phases.
     *
     * @return the phases
     */
    public Timeline timeline() {
        return Timeline.of(scenario, seconds);
    }

    /**
     * Gives the rates.
     *
     * @return the rates
     */
    public Rates rates() {
        return new Rates(site, scenario, timeline());
    }

    /**
     * Gives the arrivals.
     *
     * @return the schedule
     */
    public ArrivalSchedule schedule() {
        return new ArrivalSchedule(rates(), seed);
    }
}
