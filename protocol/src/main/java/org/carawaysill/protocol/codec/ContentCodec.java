package org.carawaysill.protocol.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.ContentRules;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.protocol.generated.AnswerContentFrame;
import org.carawaysill.protocol.generated.HeaderField;
import org.carawaysill.protocol.generated.RequestContentFrame;

/** Encodes and decodes the content of HTTP requests and answers. Stateless and thread safe. */
final class ContentCodec {

    private ContentCodec() {}

    static RequestContentFrame encode(RequestContent content) {
        return RequestContentFrame.newBuilder()
                .setMethod(content.method())
                .setPath(content.path())
                .addAllHeaders(encode(content.headers()))
                .setBody(BodyCodec.encode(content.body()))
                .build();
    }

    static RequestContent decode(RequestContentFrame frame) throws ProtocolFault {
        return new RequestContent(
                Fields.withoutWhiteSpace(frame.getMethod(), "method"),
                Fields.withoutWhiteSpace(frame.getPath(), "path"),
                decode(frame.getHeadersList()),
                Body.wrap(BodyCodec.decode(frame.hasBody(), frame.getBody())));
    }

    static AnswerContentFrame encode(AnswerContent content) {
        return AnswerContentFrame.newBuilder()
                .setStatus(content.status())
                .addAllHeaders(encode(content.headers()))
                .setBody(BodyCodec.encode(content.body()))
                .build();
    }

    /**
     * Decodes an answer of a copy.
     *
     * @return the answer; empty if it is none that can be passed on, which ends only its own request: a node that does not
     *     check answers passes on whatever its copy sends
     */
    static Optional<AnswerContent> decode(AnswerContentFrame frame) throws ProtocolFault {
        Body body = Body.wrap(BodyCodec.decode(frame.hasBody(), frame.getBody()));
        if (!ContentRules.isFinalStatus(frame.getStatus()) || !areValid(frame.getHeadersList())) {
            return Optional.empty();
        }
        return Optional.of(new AnswerContent(frame.getStatus(), decode(frame.getHeadersList()), body));
    }

    private static boolean areValid(List<HeaderField> fields) {
        return fields.stream()
                .allMatch(field -> ContentRules.isWithoutWhiteSpace(field.getName())
                        && ContentRules.isSingleLine(field.getValue()));
    }

    private static List<HeaderField> encode(List<Header> headers) {
        List<HeaderField> fields = new ArrayList<>(headers.size());
        for (Header header : headers) {
            fields.add(HeaderField.newBuilder()
                    .setName(header.name())
                    .setValue(header.value())
                    .build());
        }
        return fields;
    }

    private static List<Header> decode(List<HeaderField> fields) throws ProtocolFault {
        List<Header> headers = new ArrayList<>(fields.size());
        for (HeaderField field : fields) {
            headers.add(new Header(
                    Fields.withoutWhiteSpace(field.getName(), "header name"),
                    Fields.singleLine(field.getValue(), "header value")));
        }
        return headers;
    }
}
