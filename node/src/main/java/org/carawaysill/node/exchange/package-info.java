/** HTTP exchanges with callers and with the local copy's own calls. */
@NullMarked
package org.carawaysill.node.exchange;

import org.jspecify.annotations.NullMarked;
