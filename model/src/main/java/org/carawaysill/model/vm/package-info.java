/** The platform's list of VMs. */
@NullMarked
package org.carawaysill.model.vm;

import org.jspecify.annotations.NullMarked;
