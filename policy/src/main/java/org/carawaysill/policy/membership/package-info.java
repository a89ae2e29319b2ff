/** Membership: the nodes that this node is connected to, their states, and which of them are leaving. */
@NullMarked
package org.carawaysill.policy.membership;

import org.jspecify.annotations.NullMarked;
