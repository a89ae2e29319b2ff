/** The complete policy of a node, composed of admission, retries, ownership, routing and configuration. */
@NullMarked
package org.carawaysill.policy.engine;

import org.jspecify.annotations.NullMarked;
