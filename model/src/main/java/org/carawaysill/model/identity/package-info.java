/** Names and identifiers of nodes, services, callers, requests and attempts. */
@NullMarked
package org.carawaysill.model.identity;

import org.jspecify.annotations.NullMarked;
