/** Policy of a node in a fleet with common routes: admission of requests, choice of a copy, and retries. */
@NullMarked
package org.carawaysill.policy.fleet;

import org.jspecify.annotations.NullMarked;
