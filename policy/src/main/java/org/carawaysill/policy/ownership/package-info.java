/** At-most-once execution of requests that are not idempotent: holders, their leases, and their recorded decisions. */
@NullMarked
package org.carawaysill.policy.ownership;

import org.jspecify.annotations.NullMarked;
