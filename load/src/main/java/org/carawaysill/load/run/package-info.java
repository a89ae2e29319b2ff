/** Runs of a load against a running site. */
@NullMarked
package org.carawaysill.load.run;

import org.jspecify.annotations.NullMarked;
