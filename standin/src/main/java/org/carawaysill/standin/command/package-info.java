/** The command line of the stand-ins. */
@NullMarked
package org.carawaysill.standin.command;

import org.jspecify.annotations.NullMarked;
