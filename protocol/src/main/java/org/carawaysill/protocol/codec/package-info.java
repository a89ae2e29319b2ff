/** Codecs between the policy's messages and protobuf; malformed input is rejected. */
@NullMarked
package org.carawaysill.protocol.codec;

import org.jspecify.annotations.NullMarked;
