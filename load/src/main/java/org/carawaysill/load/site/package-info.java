/** What a bench needs to know of a site: its services, copies, ports and traffic. */
@NullMarked
package org.carawaysill.load.site;

import org.jspecify.annotations.NullMarked;
