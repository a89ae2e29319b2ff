package org.carawaysill.load.site;

import org.carawaysill.model.identity.ServiceName;

/**
 * One service of a site.
 *
 * <p>Invariant: every number is positive, but for the time of work, which may be 0. Immutable and thread safe.
 *
 * @param name the service
 * @param copies how many copies it has
 * @param slots requests that one copy works on at a time
 * @param connections requests that one copy holds at a time, those that wait included
 * @param serviceMilliseconds the mean time of one copy's own work on a request, in milliseconds, in place of its graph's
 */
public record SiteService(ServiceName name, int copies, int slots, int connections, double serviceMilliseconds) {

    public SiteService {
        Checks.positive("copies", copies);
        Checks.positive("slots", slots);
        Checks.positive("connections", connections);
        Checks.notNegative("service-milliseconds", serviceMilliseconds);
    }
}
