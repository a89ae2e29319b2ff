/** HTTP helpers shared by the stand-ins. */
@NullMarked
package org.carawaysill.standin.http;

import org.jspecify.annotations.NullMarked;
