/** Measures the latency that nodes add to requests, compared to the same requests sent directly. */
@NullMarked
package org.carawaysill.load.latency;

import org.jspecify.annotations.NullMarked;
