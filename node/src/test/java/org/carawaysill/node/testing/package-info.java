/** Small fakes of the node's peers and its environment. */
@NullMarked
package org.carawaysill.node.testing;

import org.jspecify.annotations.NullMarked;
