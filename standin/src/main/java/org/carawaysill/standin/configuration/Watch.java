package org.carawaysill.standin.configuration;

import io.vertx.ext.web.RoutingContext;
import org.carawaysill.model.identity.ServiceName;

/**
 * A reader that waits for a version newer than the one it has.
 *
 * <p>Immutable; used on the event loop only.
 *
 * @param service the service whose document it watches
 * @param after the version that it has
 * @param context its request
 */
record Watch(ServiceName service, long after, RoutingContext context) {}
