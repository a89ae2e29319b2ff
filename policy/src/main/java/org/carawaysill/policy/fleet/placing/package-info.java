/** The time that a request is expected to take at each copy, as far as this node knows. */
@NullMarked
package org.carawaysill.policy.fleet.placing;

import org.jspecify.annotations.NullMarked;
