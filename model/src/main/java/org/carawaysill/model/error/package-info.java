/** The error that says at which step, and with which peer, it arose. */
@NullMarked
package org.carawaysill.model.error;

import org.jspecify.annotations.NullMarked;
