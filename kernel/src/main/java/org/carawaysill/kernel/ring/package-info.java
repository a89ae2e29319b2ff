/** Bounded ring buffers between threads. */
@NullMarked
package org.carawaysill.kernel.ring;

import org.jspecify.annotations.NullMarked;
