package org.carawaysill.load.site;

import org.carawaysill.model.identity.ServiceName;

/**
 * An operation of a service in a call chain.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service
 * @param operation the operation's name in its graph
 */
public record Hop(ServiceName service, String operation) {

    @Override
    public String toString() {
        return service + "/" + operation;
    }
}
