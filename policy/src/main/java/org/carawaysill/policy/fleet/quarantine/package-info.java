/** Requests under which copies crashed: who is suspected, who is refused, and where a suspect may still run. */
@NullMarked
package org.carawaysill.policy.fleet.quarantine;

import org.jspecify.annotations.NullMarked;
