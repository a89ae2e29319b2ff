/** Services of a process, which look each other up by name. */
@NullMarked
package org.carawaysill.kernel.service;

import org.jspecify.annotations.NullMarked;
