package org.carawaysill.protocol.codec;

import com.google.protobuf.UnsafeByteOperations;
import java.util.zip.CRC32C;
import org.carawaysill.model.request.Body;
import org.carawaysill.protocol.generated.BodyFrame;

/**
 * Encodes and decodes bodies, each with its length and checksum.
 *
 * <p>This guards against an answer that ends early and is mistaken for a short but complete one: the caller would see a
 * truncated bill. The sender writes the length and checksum once the body is complete, and the receiver compares them,
 * so that any truncation or alteration on the way is detected. Stateless and thread safe.
 */
final class BodyCodec {

    private BodyCodec() {}

    static BodyFrame encode(Body body) {
        return encode(body.bytes());
    }

    static BodyFrame encode(byte[] bytes) {
        return BodyFrame.newBuilder()
                .setLength(bytes.length)
                .setContent(UnsafeByteOperations.unsafeWrap(bytes))
                .setChecksum(checksum(bytes))
                .build();
    }

    static byte[] decode(boolean present, BodyFrame frame) throws ProtocolFault {
        Fields.requirePresent(present, "body");
        if (frame.getLength() != frame.getContent().size()) {
            throw new ProtocolFault(ProtocolFault.Kind.WRONG_LENGTH, "body");
        }
        byte[] bytes = frame.getContent().toByteArray();
        if (frame.getChecksum() != checksum(bytes)) {
            throw new ProtocolFault(ProtocolFault.Kind.WRONG_CHECKSUM, "body");
        }
        return bytes;
    }

    private static int checksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, bytes.length);
        return (int) checksum.getValue();
    }
}
