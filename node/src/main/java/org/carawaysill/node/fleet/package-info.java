/** A node of a fleet with shared routes: its event loop, its services, its decision log and its metrics. */
@NullMarked
package org.carawaysill.node.fleet;

import org.jspecify.annotations.NullMarked;
