/** The load program: scenarios, load generation, reports and plots. */
@NullMarked
package org.carawaysill.load;

import org.jspecify.annotations.NullMarked;
