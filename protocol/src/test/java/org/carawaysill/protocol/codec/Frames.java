package org.carawaysill.protocol.codec;

import com.google.protobuf.ByteString;
import org.carawaysill.protocol.generated.Frame;

/** Modifies valid frames. Stateless and thread safe. */
final class Frames {

    private Frames() {}

    /** Replaces the content of a request's or answer's body but keeps its stated length and checksum. */
    static Frame withBody(Frame frame, byte[] content) {
        Frame.Builder altered = frame.toBuilder();
        ByteString bytes = ByteString.copyFrom(content);
        if (frame.hasPeerRequest()) {
            var request = frame.getPeerRequest().toBuilder();
            var body = request.getContent().getBody().toBuilder().setContent(bytes);
            return altered.setPeerRequest(
                            request.setContent(request.getContent().toBuilder().setBody(body)))
                    .build();
        }
        var answer = frame.getPeerAnswer().toBuilder();
        var answered = answer.getOutcome().getAnswered().toBuilder();
        var body = answered.getBody().toBuilder().setContent(bytes);
        return altered.setPeerAnswer(
                        answer.setOutcome(answer.getOutcome().toBuilder().setAnswered(answered.setBody(body))))
                .build();
    }
}
