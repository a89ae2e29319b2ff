/** Measures the cost of a fleet's control work, without requests: layout, publications and reports. */
@NullMarked
package org.carawaysill.load.fleet;

import org.jspecify.annotations.NullMarked;
