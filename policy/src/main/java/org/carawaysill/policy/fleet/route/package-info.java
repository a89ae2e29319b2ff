/** Which route a request takes and which of its services gets it. */
@NullMarked
package org.carawaysill.policy.fleet.route;

import org.jspecify.annotations.NullMarked;
