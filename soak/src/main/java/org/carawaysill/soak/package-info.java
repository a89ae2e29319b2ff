/** Long randomised runs of the policy. */
@NullMarked
package org.carawaysill.soak;

import org.jspecify.annotations.NullMarked;
