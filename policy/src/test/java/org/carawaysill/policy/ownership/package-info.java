/** Tests of at-most-once execution, and a simulation of several holders under faults. */
@NullMarked
package org.carawaysill.policy.ownership;

import org.jspecify.annotations.NullMarked;
