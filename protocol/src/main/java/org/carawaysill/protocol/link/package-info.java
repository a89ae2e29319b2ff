/** TCP connections between nodes: handshake, framing, reconnection and limits against broken or hostile peers. */
@NullMarked
package org.carawaysill.protocol.link;

import org.jspecify.annotations.NullMarked;
