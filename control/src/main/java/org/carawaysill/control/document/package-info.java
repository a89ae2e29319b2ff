/** Work on configuration documents: checking and explaining. */
@NullMarked
package org.carawaysill.control.document;

import org.jspecify.annotations.NullMarked;
