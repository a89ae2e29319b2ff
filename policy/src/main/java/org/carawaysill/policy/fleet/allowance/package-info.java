/** Allowances of organisations, enforced over all nodes together and without shared state. */
@NullMarked
package org.carawaysill.policy.fleet.allowance;

import org.jspecify.annotations.NullMarked;
