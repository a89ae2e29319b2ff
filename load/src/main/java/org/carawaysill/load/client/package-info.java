/** Clients that send requests over HTTP and retry aggressively. */
@NullMarked
package org.carawaysill.load.client;

import org.jspecify.annotations.NullMarked;
