/** The content, classification and possible outcomes of a request. */
@NullMarked
package org.carawaysill.model.request;

import org.jspecify.annotations.NullMarked;
