/** Requests during which copies crashed: which are suspected, which are quarantined, and how to identify them. */
@NullMarked
package org.carawaysill.policy.fleet.quarantine;

import org.jspecify.annotations.NullMarked;
