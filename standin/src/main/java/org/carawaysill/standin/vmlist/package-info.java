/** A stand-in for the VM list. */
@NullMarked
package org.carawaysill.standin.vmlist;

import org.jspecify.annotations.NullMarked;
