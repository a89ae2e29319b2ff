package org.carawaysill.protocol.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.Heartbeat;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.protocol.link.RecordingListener.Report;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class PeerLinkTest {

    static Heartbeat heartbeat(long sequence) {
        return new Heartbeat(sequence, new LoadReport(1, 2, 3, 4), Map.of());
    }

    @Nested
    class Connecting {

        @Test
        void carriesMessagesBothWaysOnOneConnection() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode b = TestNode.start("tracker-1")) {
                a.connect(b);
                a.send(b, heartbeat(1));
                b.heard.await(new Report.Received(a.name, heartbeat(1)));
                b.send(a, heartbeat(2));
                a.heard.await(new Report.Received(b.name, heartbeat(2)));
                assertEquals(List.of(new Report.Connected(b.name, 1)), a.heard.of(Report.Connected.class));
            }
        }

        @Test
        void keepsTheOrderOfOneSender() {
            try (TestNode a = TestNode.start("manifests-1");
                    TestNode b = TestNode.start("tracker-1")) {
                b.connect(a);
                List<PeerMessage> sent = LongStream.range(0, 5000)
                        .<PeerMessage>mapToObj(PeerLinkTest::heartbeat)
                        .toList();
                sent.forEach(message -> a.send(b, message));
                b.heard.await(_ -> b.heard.receivedMessages().size() == sent.size());
                assertEquals(sent, b.heard.receivedMessages());
            }
        }
    }
}
