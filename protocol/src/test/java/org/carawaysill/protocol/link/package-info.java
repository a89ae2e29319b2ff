/** Tests of the connections between nodes, over loopback. */
@NullMarked
package org.carawaysill.protocol.link;

import org.jspecify.annotations.NullMarked;
