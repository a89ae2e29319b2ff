/** Counters, measurements and the log of changes of state. */
@NullMarked
package org.carawaysill.node.observation;

import org.jspecify.annotations.NullMarked;
