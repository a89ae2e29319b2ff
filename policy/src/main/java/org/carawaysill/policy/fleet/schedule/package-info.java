/** How the slots of a copy are divided between short and long work: classes, parts, learned times, callers' shares. */
@NullMarked
package org.carawaysill.policy.fleet.schedule;

import org.jspecify.annotations.NullMarked;
