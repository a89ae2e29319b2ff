/** The decisions of a node. */
@NullMarked
package org.carawaysill.policy;

import org.jspecify.annotations.NullMarked;
