/** The messages that nodes exchange. */
@NullMarked
package org.carawaysill.policy.message;

import org.jspecify.annotations.NullMarked;
