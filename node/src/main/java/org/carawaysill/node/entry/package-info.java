/** The HTTP server at which a fleet's node takes requests of clients and of its copy. */
@NullMarked
package org.carawaysill.node.entry;

import org.jspecify.annotations.NullMarked;
