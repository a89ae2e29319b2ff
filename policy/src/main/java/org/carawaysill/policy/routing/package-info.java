/** Chooses the copy that gets a request. */
@NullMarked
package org.carawaysill.policy.routing;

import org.jspecify.annotations.NullMarked;
