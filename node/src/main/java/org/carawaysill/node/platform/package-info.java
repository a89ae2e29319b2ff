/** Reads from the platform's services. */
@NullMarked
package org.carawaysill.node.platform;

import org.jspecify.annotations.NullMarked;
