/** Runs the policy of simulated fleets under long random schedules of faults. */
@NullMarked
package org.carawaysill.soak;

import org.jspecify.annotations.NullMarked;
