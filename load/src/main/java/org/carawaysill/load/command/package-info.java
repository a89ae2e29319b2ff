/** The sub-commands of the load program. */
@NullMarked
package org.carawaysill.load.command;

import org.jspecify.annotations.NullMarked;
