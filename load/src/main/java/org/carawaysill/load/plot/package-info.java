/** Plots of goodput over time. */
@NullMarked
package org.carawaysill.load.plot;

import org.jspecify.annotations.NullMarked;
