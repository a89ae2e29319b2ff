/** The thread that owns the policy, the ring into it, and the way of its effects to the adapters. */
@NullMarked
package org.carawaysill.node.policy;

import org.jspecify.annotations.NullMarked;
