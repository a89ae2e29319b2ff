/** Effects, the only output of the policy. */
@NullMarked
package org.carawaysill.policy.effect;

import org.jspecify.annotations.NullMarked;
