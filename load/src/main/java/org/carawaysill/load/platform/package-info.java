/** Access to the admin interfaces of nodes and stand-ins. */
@NullMarked
package org.carawaysill.load.platform;

import org.jspecify.annotations.NullMarked;
