/** What operators and the platform publish for a whole fleet: routes, limits of clients, and upstream copies. */
@NullMarked
package org.carawaysill.model.fleet;

import org.jspecify.annotations.NullMarked;
