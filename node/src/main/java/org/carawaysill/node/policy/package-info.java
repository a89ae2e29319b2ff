/** The thread that owns the policy, the ring of its events, and the dispatch of its effects to the adapters. */
@NullMarked
package org.carawaysill.node.policy;

import org.jspecify.annotations.NullMarked;
