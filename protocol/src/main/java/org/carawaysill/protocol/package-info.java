/** The protocol between nodes over TCP. */
@NullMarked
package org.carawaysill.protocol;

import org.jspecify.annotations.NullMarked;
