/** The published entries: how they are read from the platform, merged, and passed on between nodes. */
@NullMarked
package org.carawaysill.policy.fleet.publication;

import org.jspecify.annotations.NullMarked;
