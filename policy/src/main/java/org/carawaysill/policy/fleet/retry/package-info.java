/** Bounds of attempts beyond the first. */
@NullMarked
package org.carawaysill.policy.fleet.retry;

import org.jspecify.annotations.NullMarked;
