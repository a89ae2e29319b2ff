/** What the platform published, how it is read, and how nodes pass it on. */
@NullMarked
package org.carawaysill.policy.fleet.publication;

import org.jspecify.annotations.NullMarked;
