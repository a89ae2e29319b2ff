/** The node process that runs beside each upstream copy. */
@NullMarked
package org.carawaysill.node;

import org.jspecify.annotations.NullMarked;
