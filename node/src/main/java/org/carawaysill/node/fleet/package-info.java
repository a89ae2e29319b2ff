/** A node of a fleet with common routes: its one thread, its services, its log and its metrics. */
@NullMarked
package org.carawaysill.node.fleet;

import org.jspecify.annotations.NullMarked;
