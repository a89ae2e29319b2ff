/** The data that operators and the platform publish for a whole fleet: routes, client limits and upstream copies. */
@NullMarked
package org.carawaysill.model.fleet;

import org.jspecify.annotations.NullMarked;
