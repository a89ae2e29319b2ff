/** The failure detector, which decides when a silent node is suspected. */
@NullMarked
package org.carawaysill.policy.detection;

import org.jspecify.annotations.NullMarked;
