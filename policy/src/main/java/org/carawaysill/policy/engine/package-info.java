/** The whole policy of a node, composed of the features that decide about admission, retries, ownership and routing. */
@NullMarked
package org.carawaysill.policy.engine;

import org.jspecify.annotations.NullMarked;
