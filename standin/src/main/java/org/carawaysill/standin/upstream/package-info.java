/** A stand-in for an upstream copy. */
@NullMarked
package org.carawaysill.standin.upstream;

import org.jspecify.annotations.NullMarked;
