/** Infrastructure of a process: services found by name, duties and bounded rings. */
@NullMarked
package org.carawaysill.kernel;

import org.jspecify.annotations.NullMarked;
