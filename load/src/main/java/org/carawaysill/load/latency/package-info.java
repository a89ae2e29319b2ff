/** The latency that nodes in the path add, against the same requests sent directly. */
@NullMarked
package org.carawaysill.load.latency;

import org.jspecify.annotations.NullMarked;
