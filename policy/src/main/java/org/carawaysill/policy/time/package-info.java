/** The policy's time, which each event carries, and counts over time. */
@NullMarked
package org.carawaysill.policy.time;

import org.jspecify.annotations.NullMarked;
