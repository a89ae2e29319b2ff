/** The policy's notion of time, handed in with each event. */
@NullMarked
package org.carawaysill.policy.time;

import org.jspecify.annotations.NullMarked;
