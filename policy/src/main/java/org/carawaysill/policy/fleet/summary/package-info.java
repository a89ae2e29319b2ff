/** How the state of all nodes is summed up, so that each node hears from a few others only. */
@NullMarked
package org.carawaysill.policy.fleet.summary;

import org.jspecify.annotations.NullMarked;
