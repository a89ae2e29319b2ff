/** What a run does to a site, and when. */
@NullMarked
package org.carawaysill.load.scenario;

import org.jspecify.annotations.NullMarked;
