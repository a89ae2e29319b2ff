/** What a run came to. */
@NullMarked
package org.carawaysill.load.report;

import org.jspecify.annotations.NullMarked;
