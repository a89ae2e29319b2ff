/** The upstream copies: which there are, how loaded they are, and the queue in front of the local one. */
@NullMarked
package org.carawaysill.policy.fleet.copy;

import org.jspecify.annotations.NullMarked;
