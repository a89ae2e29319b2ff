/** Scenarios: the disturbances of a run and their times. */
@NullMarked
package org.carawaysill.load.scenario;

import org.jspecify.annotations.NullMarked;
