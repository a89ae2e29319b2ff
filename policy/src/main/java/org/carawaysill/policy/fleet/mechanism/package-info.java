/**
 * The parts of the policy that can be switched off. Other packages of the policy depend on this one; it depends on none
 * of them.
 */
@NullMarked
package org.carawaysill.policy.fleet.mechanism;

import org.jspecify.annotations.NullMarked;
