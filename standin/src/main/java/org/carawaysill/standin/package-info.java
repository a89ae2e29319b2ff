/** Stand-ins for the platform and the upstream copies. */
@NullMarked
package org.carawaysill.standin;

import org.jspecify.annotations.NullMarked;
