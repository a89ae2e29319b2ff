/** Exchanges messages with other nodes. */
@NullMarked
package org.carawaysill.node.peer;

import org.jspecify.annotations.NullMarked;
