/** Parsing of TOML documents as a whole: every fault is collected with its line and its key. */
@NullMarked
package org.carawaysill.model.document;

import org.jspecify.annotations.NullMarked;
