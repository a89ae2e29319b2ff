/** Start and planned stop of the process. */
@NullMarked
package org.carawaysill.node.lifecycle;

import org.jspecify.annotations.NullMarked;
