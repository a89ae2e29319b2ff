/** Retries: the hard bound of each request over the whole chain, and the soft budget of each caller. */
@NullMarked
package org.carawaysill.policy.retry;

import org.jspecify.annotations.NullMarked;
