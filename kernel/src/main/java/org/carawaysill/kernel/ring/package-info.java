/** Rings of fixed capacity that join threads. */
@NullMarked
package org.carawaysill.kernel.ring;

import org.jspecify.annotations.NullMarked;
