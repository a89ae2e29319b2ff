/** The failure detector: from when on a silent node is suspected. */
@NullMarked
package org.carawaysill.policy.detection;

import org.jspecify.annotations.NullMarked;
