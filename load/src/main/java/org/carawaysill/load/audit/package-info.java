/** What the upstream copies ran, held against what callers were told. */
@NullMarked
package org.carawaysill.load.audit;

import org.jspecify.annotations.NullMarked;
