package org.carawaysill.protocol.link;

import static org.carawaysill.protocol.link.PeerLinkTest.heartbeat;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.CopyAnswer;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.protocol.codec.PeerMessageCodec;
import org.carawaysill.protocol.generated.Frame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OutboundFramesTest {

    private static final PeerMessage ANSWER = new CopyAnswer(
            new AttemptIdentifier(0, 1),
            new Outcome.Unknown(UnknownReason.COPY_LOST, Step.COPY_WAIT, Optional.empty()),
            new LoadReport(1, 2, 3, 4),
            List.of(),
            false);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final OutboundFrames frames = new OutboundFrames(channel, new LinkCounters());

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private int write(PeerMessage message) {
        Frame frame = PeerMessageCodec.encode(message);
        frames.write(frame, frame.getSerializedSize(), message);
        return frame.getSerializedSize();
    }

    @Nested
    class Answers {

        /** Guards against a process that ends although its connections hold answers which other nodes wait for. */
        @Test
        void countUntilTheyAreWritten() {
            int bytes = write(ANSWER) + write(ANSWER);
            assertEquals(new UnwrittenAnswers(1, 2, bytes), frames.unwrittenAnswers());
            channel.flush();
            assertEquals(UnwrittenAnswers.NONE, frames.unwrittenAnswers());
        }

        /** Guards against a stop that waits for a peer which reads no reports. */
        @Test
        void doNotIncludeOtherMessages() {
            write(heartbeat(1));
            assertEquals(UnwrittenAnswers.NONE, frames.unwrittenAnswers());
        }
    }
}
