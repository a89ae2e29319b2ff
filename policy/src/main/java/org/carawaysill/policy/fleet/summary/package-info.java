/** Aggregation of the state of all nodes, so that each node receives messages from a few others only. */
@NullMarked
package org.carawaysill.policy.fleet.summary;

import org.jspecify.annotations.NullMarked;
