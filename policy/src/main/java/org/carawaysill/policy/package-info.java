/** The decision logic of a node, separated from input, output and time. */
@NullMarked
package org.carawaysill.policy;

import org.jspecify.annotations.NullMarked;
