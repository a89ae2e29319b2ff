/** Events, the only input of the policy. */
@NullMarked
package org.carawaysill.policy.event;

import org.jspecify.annotations.NullMarked;
