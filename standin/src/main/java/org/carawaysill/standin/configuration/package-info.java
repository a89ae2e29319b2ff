/** A stand-in for the configuration service. */
@NullMarked
package org.carawaysill.standin.configuration;

import org.jspecify.annotations.NullMarked;
