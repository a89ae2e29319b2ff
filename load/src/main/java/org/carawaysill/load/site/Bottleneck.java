package org.carawaysill.load.site;

import org.carawaysill.model.identity.ServiceName;

/**
 * Where a site's goodput is bounded.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service whose slots run out first
 * @param slowedService the deep service that the triggers slow
 */
public record Bottleneck(ServiceName service, ServiceName slowedService) {}
