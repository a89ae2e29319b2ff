/** Routing of requests: the choice of the route, and of the service among its destinations. */
@NullMarked
package org.carawaysill.policy.fleet.route;

import org.jspecify.annotations.NullMarked;
