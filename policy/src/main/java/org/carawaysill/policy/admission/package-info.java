/** What runs at the local copy, what waits, and what is refused, here and on behalf of deeper services. */
@NullMarked
package org.carawaysill.policy.admission;

import org.jspecify.annotations.NullMarked;
