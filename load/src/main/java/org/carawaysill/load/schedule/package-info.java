/** The schedule of requests, computed before the run. */
@NullMarked
package org.carawaysill.load.schedule;

import org.jspecify.annotations.NullMarked;
