/** Translation between the policy's messages and protobuf, safe against malformed input. */
@NullMarked
package org.carawaysill.protocol.codec;

import org.jspecify.annotations.NullMarked;
