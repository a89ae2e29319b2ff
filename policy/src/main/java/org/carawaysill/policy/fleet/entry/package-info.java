/** Which requests of callers are let in, by what they cost at the services below. */
@NullMarked
package org.carawaysill.policy.fleet.entry;

import org.jspecify.annotations.NullMarked;
