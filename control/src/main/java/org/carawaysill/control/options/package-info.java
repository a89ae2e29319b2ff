/** The command lines of the sub-commands. */
@NullMarked
package org.carawaysill.control.options;

import org.jspecify.annotations.NullMarked;
