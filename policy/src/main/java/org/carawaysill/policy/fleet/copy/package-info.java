/**
 * The upstream copies: the published ones, their load, the choice among them, and the queue in front of the local copy.
 */
@NullMarked
package org.carawaysill.policy.fleet.copy;

import org.jspecify.annotations.NullMarked;
