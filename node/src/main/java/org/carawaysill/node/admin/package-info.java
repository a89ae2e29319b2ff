/** The HTTP server for operators and metrics. */
@NullMarked
package org.carawaysill.node.admin;

import org.jspecify.annotations.NullMarked;
