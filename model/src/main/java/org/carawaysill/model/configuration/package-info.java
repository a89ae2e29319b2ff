/** The configuration that operators publish for each service, as immutable data. */
@NullMarked
package org.carawaysill.model.configuration;

import org.jspecify.annotations.NullMarked;
