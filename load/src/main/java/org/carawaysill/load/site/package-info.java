/** The description of a site for a bench: its services, copies, ports and traffic. */
@NullMarked
package org.carawaysill.load.site;

import org.jspecify.annotations.NullMarked;
