/** Commands for running nodes, through their admin ports. */
@NullMarked
package org.carawaysill.control.fleet;

import org.jspecify.annotations.NullMarked;
