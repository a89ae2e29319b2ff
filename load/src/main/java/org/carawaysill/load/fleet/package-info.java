/** A fleet of nodes under control work only: its layout, the publications and what they cost. */
@NullMarked
package org.carawaysill.load.fleet;

import org.jspecify.annotations.NullMarked;
