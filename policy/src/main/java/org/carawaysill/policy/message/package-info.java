/** What nodes say to each other. */
@NullMarked
package org.carawaysill.policy.message;

import org.jspecify.annotations.NullMarked;
