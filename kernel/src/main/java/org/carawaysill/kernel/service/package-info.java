/** Services of a process, which find each other by name. */
@NullMarked
package org.carawaysill.kernel.service;

import org.jspecify.annotations.NullMarked;
