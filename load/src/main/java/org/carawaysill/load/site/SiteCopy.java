package org.carawaysill.load.site;

import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;

/**
 * An upstream copy of a site with its node, on loopback ports that are derived from its index.
 *
 * <p>Immutable and thread safe.
 *
 * @param index the index among all copies of the site, from 0
 * @param name the node's name
 * @param zone the availability zone
 * @param service the service that it belongs to
 */
public record SiteCopy(int index, NodeName name, AvailabilityZone zone, SiteService service) {

    private static final int FIRST_PORT = 21000;
    private static final int PORTS_PER_COPY = 10;

    /**
     * The ports of one copy, in the order of their numbers.
     */
    public enum Port {
        /** Requests of callers. */
        INGRESS,
        /** The copy's own calls to deeper services. */
        EGRESS,
        /** Messages of other nodes. */
        PEER,
        /** Metrics, status, drain. */
        ADMIN,
        /** The upstream copy itself. */
        COPY
    }

    /**
     * Returns a port number.
     *
     * @param port which port
     * @return the number
     */
    public int number(Port port) {
        return FIRST_PORT + index * PORTS_PER_COPY + port.ordinal();
    }

    /**
     * Returns an address.
     *
     * @param port which port
     * @return host and port, separated by a colon
     */
    public String address(Port port) {
        return Site.HOST + ":" + number(port);
    }
}
