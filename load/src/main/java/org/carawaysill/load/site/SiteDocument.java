package org.carawaysill.load.site;

import java.util.List;
import org.carawaysill.model.identity.AvailabilityZone;

/** The content of the file {@code site.toml}. Immutable and thread safe. */
record SiteDocument(
        List<AvailabilityZone> zones, List<SiteService> services, Bottleneck bottleneck, List<LoadOperation> traffic) {}
