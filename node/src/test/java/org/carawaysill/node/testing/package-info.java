/** Small fakes at the node's interfaces. */
@NullMarked
package org.carawaysill.node.testing;

import org.jspecify.annotations.NullMarked;
