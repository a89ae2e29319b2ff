/** What of the policy can be switched off; the other packages of the policy depend on it, and it on none. */
@NullMarked
package org.carawaysill.policy.fleet.mechanism;

import org.jspecify.annotations.NullMarked;
