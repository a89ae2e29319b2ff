/** The HTTP connections of a fleet's node to the copy beside it. */
@NullMarked
package org.carawaysill.node.upstream;

import org.jspecify.annotations.NullMarked;
