/** The operator's command-line program. */
@NullMarked
package org.carawaysill.control;

import org.jspecify.annotations.NullMarked;
