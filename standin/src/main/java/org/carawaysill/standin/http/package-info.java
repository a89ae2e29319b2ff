/** What the stand-ins share of HTTP. */
@NullMarked
package org.carawaysill.standin.http;

import org.jspecify.annotations.NullMarked;
