/** The memory that clients make the node hold. */
@org.jspecify.annotations.NullMarked
package org.carawaysill.node.memory;
