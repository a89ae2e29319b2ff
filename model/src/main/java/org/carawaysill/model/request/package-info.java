/** What a request says, how it is classified, and the outcomes that a caller can be told. */
@NullMarked
package org.carawaysill.model.request;

import org.jspecify.annotations.NullMarked;
