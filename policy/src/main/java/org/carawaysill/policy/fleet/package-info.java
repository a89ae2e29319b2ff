/** Decisions of a node in a fleet with common routes: what is admitted, where it runs, and when it is tried again. */
@NullMarked
package org.carawaysill.policy.fleet;

import org.jspecify.annotations.NullMarked;
