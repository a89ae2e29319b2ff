/** Which requests of callers are admitted, by what they cost at the services below. */
@NullMarked
package org.carawaysill.policy.fleet.entry;

import org.jspecify.annotations.NullMarked;
