/** Reports of runs. */
@NullMarked
package org.carawaysill.load.report;

import org.jspecify.annotations.NullMarked;
