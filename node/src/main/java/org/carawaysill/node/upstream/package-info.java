/** The HTTP connections of a fleet node to its local copy. */
@NullMarked
package org.carawaysill.node.upstream;

import org.jspecify.annotations.NullMarked;
