/** The settings of one node's process. */
@NullMarked
package org.carawaysill.model.settings;

import org.jspecify.annotations.NullMarked;
