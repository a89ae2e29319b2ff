package org.carawaysill.load.site;

import org.carawaysill.model.identity.ServiceName;

/**
 * The service that bounds a site's goodput.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service whose slots run out first
 * @param slowedService the deep service that triggers slow down
 */
public record Bottleneck(ServiceName service, ServiceName slowedService) {}
