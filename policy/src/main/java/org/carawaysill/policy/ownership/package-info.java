/** Running work that is not idempotent at most once: who decides, under which lease, and what was decided before. */
@NullMarked
package org.carawaysill.policy.ownership;

import org.jspecify.annotations.NullMarked;
