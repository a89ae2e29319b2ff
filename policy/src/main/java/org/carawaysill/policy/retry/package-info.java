/**
 * Retries: the hard limit for each request over the whole call tree, the soft limit for each caller, and the backoff.
 */
@NullMarked
package org.carawaysill.policy.retry;

import org.jspecify.annotations.NullMarked;
