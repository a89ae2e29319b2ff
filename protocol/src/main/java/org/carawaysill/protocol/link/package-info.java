/** TCP connections between nodes: greeting, frames, reconnection and limits against broken or hostile peers. */
@NullMarked
package org.carawaysill.protocol.link;

import org.jspecify.annotations.NullMarked;
