/** Admission of callers' requests at the entry, by their cost at the services that they reach. */
@NullMarked
package org.carawaysill.policy.fleet.entry;

import org.jspecify.annotations.NullMarked;
