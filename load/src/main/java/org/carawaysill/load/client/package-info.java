/** Clients that send requests over HTTP and retry hard. */
@NullMarked
package org.carawaysill.load.client;

import org.jspecify.annotations.NullMarked;
