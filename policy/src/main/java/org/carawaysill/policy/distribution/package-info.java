/**
 * Distributes the published configuration to every node, each version once and never an older one after a newer one.
 */
@NullMarked
package org.carawaysill.policy.distribution;

import org.jspecify.annotations.NullMarked;
