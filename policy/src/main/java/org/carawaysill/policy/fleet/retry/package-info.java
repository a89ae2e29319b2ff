/** The bound on attempts beyond the first. */
@NullMarked
package org.carawaysill.policy.fleet.retry;

import org.jspecify.annotations.NullMarked;
