package org.carawaysill.protocol.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Arrays;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.PeerAnswer;
import org.carawaysill.policy.message.PeerMessage.PeerRequest;
import org.carawaysill.protocol.generated.Frame;

class PeerMessageCodecPropertyTest {

    @Provide
    Arbitrary<PeerMessage> messages() {
        return Arbitraries.randomValue(random -> new RandomMessages(random).next());
    }

    @Provide
    Arbitrary<PeerMessage> messagesWithBody() {
        return Arbitraries.randomValue(random -> {
            RandomMessages messages = new RandomMessages(random);
            return random.nextBoolean() ? messages.request() : messages.answer();
        });
    }

    @Property(seed = "1", tries = 2000)
    void everyMessageSurvivesARoundTrip(@ForAll("messages") PeerMessage message)
            throws ProtocolFault, InvalidProtocolBufferException {
        byte[] bytes = PeerMessageCodec.encode(message).toByteArray();
        assertEquals(message, PeerMessageCodec.decode(Frame.parseFrom(bytes)));
    }

    @Property(seed = "2", tries = 5000)
    void anyBytesGiveAMessageOrATypedFault(@ForAll @Size(max = 400) byte[] bytes) {
        decodeOrFault(bytes);
    }

    @Property(seed = "3", tries = 5000)
    void aChangedFrameGivesAMessageOrATypedFault(
            @ForAll("messages") PeerMessage message,
            @ForAll @IntRange(max = 100_000) int at,
            @ForAll byte put,
            @ForAll @IntRange(max = 100_000) int secondAt,
            @ForAll byte secondPut) {
        byte[] bytes = PeerMessageCodec.encode(message).toByteArray();
        bytes[at % bytes.length] = put;
        bytes[secondAt % bytes.length] = secondPut;
        decodeOrFault(bytes);
    }

    /**
     * Guards against a truncated answer that is passed to a caller as complete. If the bytes of an answer are truncated
     * or altered between two nodes and the rest still parses, the decoder must detect it by length and checksum instead
     * of inferring the end of the body.
     */
    @Property(seed = "4", tries = 3000)
    void anAlteredBodyIsAlwaysDetected(
            @ForAll("messagesWithBody") PeerMessage message,
            @ForAll @IntRange(max = 100_000) int cutAt,
            @ForAll @IntRange(max = 100_000) int changeAt,
            @ForAll byte put)
            throws InvalidProtocolBufferException {
        byte[] content = contentOf(message);
        if (content.length == 0) {
            return;
        }
        byte[] cut = Arrays.copyOf(content, cutAt % content.length);
        byte[] changed = content.clone();
        changed[changeAt % content.length] ^= (byte) (put == 0 ? 1 : put);
        Frame frame = PeerMessageCodec.encode(message);
        assertThrows(ProtocolFault.class, () -> PeerMessageCodec.decode(Frames.withBody(frame, cut)));
        assertThrows(ProtocolFault.class, () -> PeerMessageCodec.decode(Frames.withBody(frame, changed)));
    }

    private static byte[] contentOf(PeerMessage message) {
        return switch (message) {
            case PeerRequest request -> request.content().body().bytes();
            case PeerAnswer answer
            when answer.outcome() instanceof Outcome.Answered answered ->
                answered.content().body().bytes();
            default -> new byte[0];
        };
    }

    private static void decodeOrFault(byte[] bytes) {
        try {
            PeerMessageCodec.decode(Frame.parseFrom(bytes));
        } catch (ProtocolFault | InvalidProtocolBufferException e) {
            // Both are expected; any other exception fails the property.
        }
    }
}
