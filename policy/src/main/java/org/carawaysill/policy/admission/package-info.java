/** Admission control: which requests run at the local copy, wait, or are refused, also for deeper services. */
@NullMarked
package org.carawaysill.policy.admission;

import org.jspecify.annotations.NullMarked;
