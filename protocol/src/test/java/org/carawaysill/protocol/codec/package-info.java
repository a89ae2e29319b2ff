/** Tests of the translation of messages. */
@NullMarked
package org.carawaysill.protocol.codec;

import org.jspecify.annotations.NullMarked;
