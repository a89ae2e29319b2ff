package org.carawaysill.policy.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.ConfigurationCount;
import org.carawaysill.model.request.Counted;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.model.vm.VmState;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.ConfigurationChange;
import org.carawaysill.policy.message.PeerMessage.ConfigurationDocument;
import org.carawaysill.policy.message.PeerMessage.ConfigurationWanted;
import org.carawaysill.policy.message.PeerMessage.Heartbeat;
import org.carawaysill.policy.message.PeerMessage.LineEdit;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.time.Moment;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests one node of a service of three. The test takes the place of the platform and of the other nodes. */
class ConfigurationDistributionTest {

    private static final ServiceName SERVICE = new ServiceName("manifests");
    private static final NodeName SELF = new NodeName("manifests-1");
    private static final NodeName SECOND = new NodeName("manifests-2");
    private static final NodeName THIRD = new NodeName("manifests-3");
    private static final String TEXT = TestDocuments.text(SERVICE, List.of(), 3, 3);

    private final ConfigurationDistribution distribution = new ConfigurationDistribution(
            SELF, SERVICE, new TestDocuments(), DistributionSettings.DEFAULT, new SplittableRandom(1));
    private Moment now = new Moment(0, 0);

    private List<Effect> handle(Event event) {
        return distribution.handle(now, event);
    }

    private List<Effect> advance(Duration duration) {
        List<Effect> effects = new ArrayList<>();
        long end = now.nanos() + duration.toNanos();
        while (distribution.nextWakeNanos() <= end) {
            now = new Moment(Math.max(now.nanos() + 1, distribution.nextWakeNanos()), 0);
            effects.addAll(handle(new Event.WakeUp()));
        }
        now = new Moment(end, 0);
        return effects;
    }

    private List<Effect> read(long version, String text) {
        return switch (new TestDocuments().parse(text, version)) {
            case DocumentParser.Verdict.Valid valid -> handle(new Event.ConfigurationRead(valid.configuration(), text));
            case DocumentParser.Verdict.Invalid invalid ->
                handle(new Event.ConfigurationRefused(SERVICE, version, invalid.message()));
        };
    }

    private List<Effect> heartbeat(NodeName from, long version) {
        return receive(from, new Heartbeat(1, new LoadReport(0, 1, 0, 0), Map.of(SERVICE, version)));
    }

    private List<Effect> receive(NodeName from, PeerMessage message) {
        return handle(new Event.PeerReceived(from, message));
    }

    private void connect(NodeName peer, long version) {
        handle(new Event.PeerConnected(peer, 1));
        heartbeat(peer, version);
    }

    private void becomeReadyWith(long version) {
        read(version, TEXT);
        connect(SECOND, version);
        connect(THIRD, version);
        assertTrue(distribution.readyToServe());
    }

    private static List<Effect.ReadConfiguration> reads(List<Effect> effects) {
        return effects.stream()
                .filter(Effect.ReadConfiguration.class::isInstance)
                .map(Effect.ReadConfiguration.class::cast)
                .toList();
    }

    private static Optional<ConfigurationWanted> requestedDocument(List<Effect> effects) {
        return effects.stream()
                .filter(Effect.SendToPeer.class::isInstance)
                .map(effect -> ((Effect.SendToPeer) effect).message())
                .filter(ConfigurationWanted.class::isInstance)
                .map(ConfigurationWanted.class::cast)
                .findFirst();
    }

    private static long counted(List<Effect> effects, Counted counted) {
        return effects.stream().filter(new Effect.Count(counted)::equals).count();
    }

    @Nested
    class AStartingNode {

        // Guards against a fall of the version in force: a node is replaced while one replica of the platform lags by
        // an hour. It reads an old version there and would serve under it, although it served under the newest before
        // and its peers still do.
        @Test
        void doesNotServeUnderALaggingReplicasVersion() {
            read(3, TEXT);
            connect(SECOND, 9);

            advance(Duration.ofSeconds(1));
            assertFalse(distribution.readyToServe());
            assertEquals(Optional.empty(), distribution.inForce(SERVICE));

            connect(THIRD, 9);
            assertFalse(distribution.readyToServe());
            receive(SECOND, new ConfigurationDocument(SERVICE, 9, TEXT));
            assertTrue(distribution.readyToServe());
            assertEquals(Map.of(SERVICE, 9L), distribution.versions());
        }

        @Test
        void waitsWhileNobodyAnswers() {
            read(3, TEXT);

            advance(Duration.ofMinutes(10));
            assertFalse(distribution.readyToServe());

            connect(SECOND, 0);
            connect(THIRD, 0);
            assertTrue(distribution.readyToServe());
        }

        @Test
        void acceptsAMajorityAfterTheTimeout() {
            read(3, TEXT);
            connect(SECOND, 3);
            advance(Duration.ofMinutes(1));
            assertFalse(distribution.readyToServe(), "one of two others is not a majority");

            handle(new Event.VmListRead(new VmList(Map.of(SELF, VmState.LIVE, SECOND, VmState.LIVE))));
            assertTrue(distribution.readyToServe(), "the third VM is gone");
        }

        @Test
        void servesAloneOnlyIfTheListShowsNoOtherNode() {
            read(3, TEXT);
            handle(new Event.VmListRead(new VmList(Map.of(SELF, VmState.LIVE))));
            assertFalse(distribution.readyToServe());

            advance(Duration.ofSeconds(4));
            assertTrue(distribution.readyToServe());
        }

        @Test
        void needsNoPlatformWhereAPeerHasTheDocument() {
            handle(new Event.PeerConnected(SECOND, 1));
            Optional<ConfigurationWanted> question = requestedDocument(heartbeat(SECOND, 7));

            assertEquals(Optional.of(new ConfigurationWanted(SERVICE, 0)), question);
            receive(SECOND, new ConfigurationDocument(SERVICE, 7, TEXT));
            assertEquals(7, distribution.newest(SERVICE).orElseThrow().version());
        }
    }

    @Nested
    class AnInvalidDocument {

        // Guards against a busy loop of reads: an operator publishes an invalid document. A watch that starts from the
        // version in force returns it at once, so each reader would read it many times a second until it is corrected.
        @Test
        void isRefusedOnceReportedAndSkippedByWatches() {
            becomeReadyWith(3);
            advance(Duration.ofSeconds(5));

            List<Effect> effects = new ArrayList<>(read(4, "nonsense"));
            effects.addAll(advance(Duration.ofSeconds(1)));

            assertEquals(1, counted(effects, ConfigurationCount.REFUSED));
            assertEquals(Map.of(SERVICE, 3L), distribution.versions());
            assertEquals(Map.of(SERVICE, new RefusedDocument(4, "unknown word nonsense")), distribution.refused());
            assertTrue(reads(effects).stream().allMatch(read -> read.knownVersion() == 4));

            read(5, TEXT);
            assertEquals(Map.of(SERVICE, 5L), distribution.versions());
            assertEquals(Map.of(), distribution.refused());
        }

        @Test
        void ofAPeerIsRefusedToo() {
            becomeReadyWith(3);

            receive(SECOND, new ConfigurationDocument(SERVICE, 4, "nonsense"));
            receive(SECOND, new ConfigurationDocument(SERVICE, 5, "service other"));

            assertEquals(Map.of(SERVICE, 3L), distribution.versions());
            assertEquals(5, distribution.refused().get(SERVICE).version());
        }
    }

    @Nested
    class AChange {

        private final String changed = TEXT + "\nnote";

        @Test
        void isMadeFromLinesAndApplied() {
            becomeReadyWith(3);
            List<Effect> effects = read(4, changed);
            ConfigurationChange change = effects.stream()
                    .filter(Effect.SendToPeer.class::isInstance)
                    .map(effect -> (ConfigurationChange) ((Effect.SendToPeer) effect).message())
                    .findFirst()
                    .orElseThrow();
            assertEquals(1, change.edits().size());

            ConfigurationDistribution other = new ConfigurationDistribution(
                    SECOND, SERVICE, new TestDocuments(), DistributionSettings.DEFAULT, new SplittableRandom(2));
            other.handle(now, new Event.PeerReceived(SELF, new ConfigurationDocument(SERVICE, 3, TEXT)));
            other.handle(now, new Event.PeerReceived(SELF, change));
            assertEquals(4, other.newest(SERVICE).orElseThrow().version());
        }

        // Guards against a corrupted document: two nodes have different texts for one version number, as after a fault
        // of the platform. A change computed from one text and applied to the other would yield a document that was
        // never published.
        @Test
        void withAWrongChecksumIsDroppedAndTheWholeDocumentRequested() {
            becomeReadyWith(3);

            List<Effect> effects = receive(
                    SECOND,
                    new ConfigurationChange(SERVICE, 3, 4, List.of(new LineEdit(0, 0, List.of("note"))), 12345));

            assertEquals(1, counted(effects, ConfigurationCount.BAD_CHANGE));
            assertEquals(Optional.of(new ConfigurationWanted(SERVICE, 0)), requestedDocument(effects));
            assertEquals(Map.of(SERVICE, 3L), distribution.versions());
        }

        @Test
        void fromAnUnknownBaseLeadsToARequest() {
            becomeReadyWith(3);

            List<Effect> effects = receive(SECOND, new ConfigurationChange(SERVICE, 5, 6, List.of(), 0));

            assertEquals(Optional.of(new ConfigurationWanted(SERVICE, 3)), requestedDocument(effects));
        }
    }

    @Nested
    class ThePlatform {

        // Guards against a busy loop of reads: a proxy in front of the platform answers each watch at once without a
        // newer version. A reader that starts the next watch at once would read as fast as the network allows.
        @Test
        void thatDoesNotHoldWatchesIsReadSlowly() {
            handle(new Event.WakeUp());
            int reads = 0;
            for (int i = 0; i < 60; i++) {
                List<Effect.ReadConfiguration> started = reads(advance(Duration.ofSeconds(1)));
                reads += started.size();
                started.forEach(read -> handle(new Event.ConfigurationUnchanged(read.service())));
            }

            assertTrue(reads > 5 && reads < 40, "reads in a minute: " + reads);
        }

        @Test
        void thatFailsIsReadAgainWithinSeconds() {
            handle(new Event.WakeUp());
            advance(Duration.ofSeconds(10));
            for (int i = 0; i < 10; i++) {
                handle(new Event.ConfigurationReadFailed(SERVICE, Step.CONFIGURATION, "down"));

                assertEquals(1, reads(advance(Duration.ofSeconds(5))).size());
            }
        }

        @Test
        void thatGivesAnOlderVersionIsCountedAndChangesNothing() {
            becomeReadyWith(3);

            assertEquals(1, counted(read(2, TEXT), ConfigurationCount.STALE_READ));
            assertEquals(Map.of(SERVICE, 3L), distribution.versions());
        }

        // Guards against a watch that never ends: its answer is lost inside the node, as when the connection pool is
        // replaced. Without a time limit the node would wait forever and, as an elected reader, keep others from
        // watching.
        @Test
        void whoseAnswerIsLostIsReadAgain() {
            handle(new Event.WakeUp());

            assertEquals(1, reads(advance(Duration.ofSeconds(30))).size());
            assertEquals(1, reads(advance(Duration.ofSeconds(30))).size());
        }
    }
}
