/** Counters, measurements and the log of state changes. */
@NullMarked
package org.carawaysill.node.observation;

import org.jspecify.annotations.NullMarked;
