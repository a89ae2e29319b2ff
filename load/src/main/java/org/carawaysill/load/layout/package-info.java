/** The files that describe the processes of a site on loopback. */
@NullMarked
package org.carawaysill.load.layout;

import org.jspecify.annotations.NullMarked;
