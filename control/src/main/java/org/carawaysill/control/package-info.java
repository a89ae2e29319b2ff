/** The operator's command line. */
@NullMarked
package org.carawaysill.control;

import org.jspecify.annotations.NullMarked;
