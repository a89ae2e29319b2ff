/** Commands that check configuration documents and explain how they classify requests. */
@NullMarked
package org.carawaysill.control.document;

import org.jspecify.annotations.NullMarked;
