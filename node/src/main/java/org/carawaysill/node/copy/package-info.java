/** Requests to the local copy. */
@NullMarked
package org.carawaysill.node.copy;

import org.jspecify.annotations.NullMarked;
