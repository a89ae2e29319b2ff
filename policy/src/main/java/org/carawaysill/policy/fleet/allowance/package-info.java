/** How much organisations may send, over all nodes together and without shared state. */
@NullMarked
package org.carawaysill.policy.fleet.allowance;

import org.jspecify.annotations.NullMarked;
