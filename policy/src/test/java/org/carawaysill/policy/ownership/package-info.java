/** Tests of running work at most once, and a small model of several holders under faults. */
@NullMarked
package org.carawaysill.policy.ownership;

import org.jspecify.annotations.NullMarked;
