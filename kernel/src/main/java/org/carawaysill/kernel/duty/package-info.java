/** Threads with one task each, fed by a ring. */
@NullMarked
package org.carawaysill.kernel.duty;

import org.jspecify.annotations.NullMarked;
