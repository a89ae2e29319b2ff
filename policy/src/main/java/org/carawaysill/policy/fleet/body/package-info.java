/** Large bodies of requests: which are sent after their requests, the places that wait for them, and where they go. */
@NullMarked
package org.carawaysill.policy.fleet.body;

import org.jspecify.annotations.NullMarked;
