package org.carawaysill.load.site;

import org.carawaysill.model.identity.ServiceName;

/**
 * A service of a site.
 *
 * <p>Invariant: every number is positive, except for the service time, which may be 0. Immutable and thread safe.
 *
 * @param name the service
 * @param copies how many copies it has
 * @param slots the number of requests that one copy runs at a time
 * @param connections the number of requests that run or wait in one copy at a time
 * @param serviceMilliseconds the mean service time of a copy's own work on a request, which replaces that of its graph
 */
public record SiteService(ServiceName name, int copies, int slots, int connections, double serviceMilliseconds) {

    public SiteService {
        Checks.positive("copies", copies);
        Checks.positive("slots", slots);
        Checks.positive("connections", connections);
        Checks.notNegative("service-milliseconds", serviceMilliseconds);
    }
}
