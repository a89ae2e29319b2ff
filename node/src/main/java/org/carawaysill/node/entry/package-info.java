/** The HTTP server on which a fleet node accepts requests of clients and of its own copy. */
@NullMarked
package org.carawaysill.node.entry;

import org.jspecify.annotations.NullMarked;
