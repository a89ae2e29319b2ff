/** When requests are sent, worked out before the run. */
@NullMarked
package org.carawaysill.load.schedule;

import org.jspecify.annotations.NullMarked;
