package org.carawaysill.node.entry;

import io.netty.handler.codec.http.FullHttpResponse;
import java.util.Optional;
import java.util.function.Supplier;
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
    private final long headBytes;
    private final int bodyBytes;
    private Optional<Answer> answer = Optional.empty();

    /**
     * Creates an exchange without an answer.
     *
     * @param identifier identifies the exchange to the policy
     * @param requestName the client's own name for the request; empty if it gave none
     * @param head whether the answer must have no body
     * @param closing whether the client wants the connection closed after the answer
     * @param headBytes the size of the request's head
     * @param bodyBytes the memory reserved for the request's body
     */
    EntryExchange(
            ExchangeIdentifier identifier,
            String requestName,
            boolean head,
            boolean closing,
            long headBytes,
            int bodyBytes) {
        this.identifier = identifier;
        this.requestName = requestName;
        this.head = head;
        this.closing = closing;
        this.headBytes = headBytes;
        this.bodyBytes = bodyBytes;
    }

    /**
     * An answer that waits for those before it. It is encoded only when it is written, since its header fields then take
     * many times their bytes.
     *
     * @param byteCount about how much memory it takes until then
     * @param response creates it
     */
    record Answer(long byteCount, Supplier<FullHttpResponse> response) {}

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

    long headBytes() {
        return headBytes;
    }

    int bodyBytes() {
        return bodyBytes;
    }

    Optional<Answer> answer() {
        return answer;
    }

    void answer(Answer ready) {
        answer = Optional.of(ready);
    }
}
