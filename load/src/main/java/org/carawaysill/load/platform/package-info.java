/** The admin interfaces of nodes and stand-ins, as a bench uses them. */
@NullMarked
package org.carawaysill.load.platform;

import org.jspecify.annotations.NullMarked;
