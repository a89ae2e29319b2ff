/** Which nodes this node watches, what it believes of them, and who is leaving. */
@NullMarked
package org.carawaysill.policy.membership;

import org.jspecify.annotations.NullMarked;
