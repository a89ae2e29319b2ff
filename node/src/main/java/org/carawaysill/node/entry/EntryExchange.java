package org.carawaysill.node.entry;

import io.netty.handler.codec.http.FullHttpResponse;
import java.util.Optional;
import org.carawaysill.model.identity.ExchangeIdentifier;

/**
 * A request of a client, from its last byte until its answer is written.
 *
 * <p>Not thread safe: confined to the event loop.
 */
final class EntryExchange {

    private final ExchangeIdentifier identifier;
    private final String requestName;
    private final boolean head;
    private final boolean closing;
    private final int bodyBytes;
    private Optional<FullHttpResponse> answer = Optional.empty();

    /**
     * Creates an exchange without an answer.
     *
     * @param identifier identifies the exchange to the policy
     * @param requestName the client's own name for the request; empty if it gave none
     * @param head whether the answer must have no body
     * @param closing whether the client wants the connection closed after the answer
     * @param bodyBytes the memory reserved for the request's body
     */
    EntryExchange(ExchangeIdentifier identifier, String requestName, boolean head, boolean closing, int bodyBytes) {
        this.identifier = identifier;
        this.requestName = requestName;
        this.head = head;
        this.closing = closing;
        this.bodyBytes = bodyBytes;
    }

    ExchangeIdentifier identifier() {
        return identifier;
    }

    String requestName() {
        return requestName;
    }

    boolean isHead() {
        return head;
    }

    boolean isClosing() {
        return closing;
    }

    int bodyBytes() {
        return bodyBytes;
    }

    Optional<FullHttpResponse> answer() {
        return answer;
    }

    void answer(FullHttpResponse response) {
        answer = Optional.of(response);
    }
}
