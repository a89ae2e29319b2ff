/** The exception type that states the step and the peer at which a failure arose. */
@NullMarked
package org.carawaysill.model.error;

import org.jspecify.annotations.NullMarked;
