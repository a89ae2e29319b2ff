/** Checks the runs of the upstream copies against the outcomes that callers received. */
@NullMarked
package org.carawaysill.load.audit;

import org.jspecify.annotations.NullMarked;
