/** Brings the published configuration to every node, each version once and never an older one. */
@NullMarked
package org.carawaysill.policy.distribution;

import org.jspecify.annotations.NullMarked;
