/** Chooses the copy for a request. */
@NullMarked
package org.carawaysill.policy.routing;

import org.jspecify.annotations.NullMarked;
