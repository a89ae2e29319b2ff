package org.carawaysill.policy.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.model.vm.VmState;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.effect.PeerState;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.DrainNotice;
import org.carawaysill.policy.message.PeerMessage.Heartbeat;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.time.Moment;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests suspicion of silent peers, heartbeats, leaving nodes and reads of the list of VMs. */
class MembershipTest {

    private static final NodeName SELF = new NodeName("tracker-1");
    private static final NodeName OWN_SERVICE_PEER = new NodeName("tracker-2");
    private static final NodeName CALLED_SERVICE_PEER = new NodeName("manifests-1");
    private static final LoadReport LOAD = new LoadReport(1, 10, 0, 0);
    private static final HeartbeatContent CONTENT = new HeartbeatContent() {
        @Override
        public LoadReport load() {
            return LOAD;
        }

        @Override
        public Map<ServiceName, Long> versionsFor(NodeName peer) {
            return Map.of();
        }
    };

    private Membership membership;
    private Moment now = new Moment(0, 0);

    @BeforeEach
    void connectToAnOwnServicePeerAndACalledServicePeer() {
        membership = new Membership(SELF, MembershipSettings.DEFAULT, new SplittableRandom(1));
        membership.watch(List.of(copy(SELF), copy(OWN_SERVICE_PEER)), List.of(copy(CALLED_SERVICE_PEER)));
        handle(new Event.PeerConnected(OWN_SERVICE_PEER, 100));
        handle(new Event.PeerConnected(CALLED_SERVICE_PEER, 100));
    }

    private static CopyEntry copy(NodeName node) {
        return new CopyEntry(node, new AvailabilityZone("molo-nord"), "127.0.0.1", 1, 10, 100);
    }

    private List<Effect> handle(Event event) {
        return membership.handle(now, event, CONTENT);
    }

    /**
     * Advances the time, wakes the membership when it asks for it, and collects the effects. Live peers send
     * heartbeats.
     */
    private List<Effect> advance(Duration duration, boolean peersLive) {
        List<Effect> effects = new ArrayList<>();
        long end = now.nanos() + duration.toNanos();
        long nextHeartbeat = now.nanos();
        while (Math.min(membership.nextWakeNanos(), nextHeartbeat) <= end) {
            now = new Moment(Math.max(now.nanos(), Math.min(membership.nextWakeNanos(), nextHeartbeat)), 0);
            if (peersLive && now.nanos() >= nextHeartbeat) {
                effects.addAll(handle(heartbeat(OWN_SERVICE_PEER)));
                effects.addAll(handle(heartbeat(CALLED_SERVICE_PEER)));
            }
            nextHeartbeat = now.nanos() >= nextHeartbeat
                    ? nextHeartbeat + Duration.ofSeconds(1).toNanos()
                    : nextHeartbeat;
            effects.addAll(handle(new Event.WakeUp()));
        }
        now = new Moment(end, 0);
        return effects;
    }

    private static Event heartbeat(NodeName from) {
        return new Event.PeerReceived(from, new Heartbeat(1, LOAD, Map.of()));
    }

    private static Event list(NodeName node, VmState state) {
        return new Event.VmListRead(new VmList(Map.of(node, state)));
    }

    private PeerState state(NodeName node) {
        return membership.states(now.nanos()).get(node);
    }

    private static long sent(List<Effect> effects, NodeName to, Class<? extends PeerMessage> kind) {
        return effects.stream()
                .filter(effect -> effect instanceof Effect.SendToPeer send
                        && send.peer().equals(to)
                        && kind.isInstance(send.message()))
                .count();
    }

    @Nested
    class Silence {

        @Test
        void peersThatSendHeartbeatsStayLive() {
            advance(Duration.ofSeconds(60), true);

            assertEquals(
                    Map.of(OWN_SERVICE_PEER, PeerState.LIVE, CALLED_SERVICE_PEER, PeerState.LIVE),
                    membership.states(now.nanos()));
        }

        @Test
        void aSilentPeerIsSuspectedUntilItsNextMessage() {
            advance(Duration.ofSeconds(5), false);
            assertEquals(PeerState.SUSPECTED, state(OWN_SERVICE_PEER));
            assertEquals(PeerState.LIVE, state(CALLED_SERVICE_PEER));
            assertFalse(membership.mayGetNewWork(now.nanos(), OWN_SERVICE_PEER));

            handle(heartbeat(OWN_SERVICE_PEER));
            assertEquals(PeerState.LIVE, state(OWN_SERVICE_PEER));
        }

        @Test
        void aLostConnectionShowsAtOnce() {
            handle(new Event.PeerLost(OWN_SERVICE_PEER));

            assertEquals(PeerState.UNREACHABLE, state(OWN_SERVICE_PEER));
        }

        // Guards against a node that refuses every request for lack of a copy after a pause of its process. After a
        // pause of one minute it handles a timer before the messages that wait unread, so all peers seem silent.
        @Test
        void afterItsOwnPauseItSuspectsNoPeer() {
            advance(Duration.ofSeconds(10), true);
            now = now.plus(Duration.ofSeconds(60));

            handle(new Event.WakeUp());

            assertEquals(PeerState.LIVE, state(OWN_SERVICE_PEER));
        }

        @Test
        void onlyChangesAreLogged() {
            List<Effect> effects = advance(Duration.ofSeconds(20), false);

            assertEquals(
                    2,
                    effects.stream().filter(Effect.LogChange.class::isInstance).count());
        }
    }

    @Nested
    class Heartbeats {

        @Test
        void goEachSecondWithinTheServiceAndEachThreeSecondsToOthers() {
            List<Effect> effects = advance(Duration.ofSeconds(30), true);

            assertEquals(30, sent(effects, OWN_SERVICE_PEER, Heartbeat.class), 1);
            assertEquals(10, sent(effects, CALLED_SERVICE_PEER, Heartbeat.class), 1);
        }

        @Test
        void areOmittedWhileOtherMessagesAreSentButNotForLong() {
            List<Effect> effects = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                membership.sent(now.nanos(), OWN_SERVICE_PEER);
                effects.addAll(advance(Duration.ofMillis(500), true));
            }

            assertEquals(15, sent(effects, OWN_SERVICE_PEER, Heartbeat.class), 2);
        }

        @Test
        void doNotGrowWithTheService() {
            List<CopyEntry> many = IntStream.range(1, 201)
                    .mapToObj(i -> copy(new NodeName("tracker-" + i)))
                    .toList();
            membership.watch(many, List.of());
            many.forEach(copy -> handle(new Event.PeerConnected(copy.node(), 100)));

            List<Effect> effects = advance(Duration.ofSeconds(60), false);

            long perSecond =
                    effects.stream().filter(Effect.SendToPeer.class::isInstance).count() / 60;
            assertTrue(perSecond <= 34, () -> perSecond + " heartbeats per second");
        }
    }

    @Nested
    class Leaving {

        // Guards against sending work to a copy in a planned stop, which would refuse it or cut it off when it ends.
        // Its drain notice arrives, but the list of VMs still shows it as live for another minute.
        @Test
        void aNoticeEndsNewWorkBeforeTheListShowsIt() {
            handle(new Event.PeerReceived(OWN_SERVICE_PEER, new DrainNotice()));
            handle(list(OWN_SERVICE_PEER, VmState.LIVE));
            handle(heartbeat(OWN_SERVICE_PEER));

            assertEquals(PeerState.LEAVING, state(OWN_SERVICE_PEER));
            assertFalse(membership.mayGetNewWork(now.nanos(), OWN_SERVICE_PEER));
        }

        // Guards against a lost drain notice: the connection broke as the notice was sent, and the node refuses work as
        // draining.
        @Test
        void aRefusalAsDrainingEndsNewWork() {
            Outcome refused =
                    new Outcome.NotRun(RefusalReason.DRAINING, Duration.ofSeconds(1), Step.ADMISSION, Optional.empty());
            handle(new Event.PeerReceived(
                    OWN_SERVICE_PEER,
                    new PeerMessage.PeerAnswer(new AttemptIdentifier(1, 1), refused, 0, LOAD, List.of())));

            assertEquals(PeerState.LEAVING, state(OWN_SERVICE_PEER));
        }

        // Guards against taking the wrong node for leaving: a node relays that a third node refused a request as
        // draining.
        @Test
        void aRefusalOfAThirdNodeDoesNot() {
            Outcome refused = new Outcome.NotRun(
                    RefusalReason.DRAINING, Duration.ofSeconds(1), Step.PEER_WAIT, Optional.of(CALLED_SERVICE_PEER));
            handle(new Event.PeerReceived(
                    OWN_SERVICE_PEER,
                    new PeerMessage.PeerAnswer(new AttemptIdentifier(1, 1), refused, 0, LOAD, List.of())));

            assertEquals(PeerState.LIVE, state(OWN_SERVICE_PEER));
        }

        @Test
        void theListEndsNewWorkToo() {
            handle(list(CALLED_SERVICE_PEER, VmState.LEAVING));

            assertEquals(PeerState.LEAVING, state(CALLED_SERVICE_PEER));
        }

        // Guards against sending work to a leaving process instead of only to its successor of the same name. The old
        // process may connect once more, and the list may show the old VM as leaving for a while.
        @Test
        void aNewProcessUnderTheSameNameIsNotLeaving() {
            handle(list(OWN_SERVICE_PEER, VmState.LEAVING));
            handle(new Event.PeerLost(OWN_SERVICE_PEER));
            handle(new Event.PeerConnected(OWN_SERVICE_PEER, 100));
            assertEquals(PeerState.LEAVING, state(OWN_SERVICE_PEER));

            handle(new Event.PeerLost(OWN_SERVICE_PEER));
            handle(new Event.PeerConnected(OWN_SERVICE_PEER, 200));
            handle(list(OWN_SERVICE_PEER, VmState.LEAVING));
            assertEquals(PeerState.LIVE, state(OWN_SERVICE_PEER));
        }

        @Test
        void aLeavingNodeNotifiesAllPeersAtOnceAndRepeatedly() {
            List<Effect> first = handle(new Event.DrainOrdered());
            List<Effect> later = advance(Duration.ofSeconds(10), true);

            assertEquals(1, sent(first, OWN_SERVICE_PEER, DrainNotice.class));
            assertEquals(1, sent(first, CALLED_SERVICE_PEER, DrainNotice.class));
            assertTrue(sent(later, OWN_SERVICE_PEER, DrainNotice.class) >= 9);
            assertEquals(
                    1,
                    sent(handle(new Event.PeerConnected(OWN_SERVICE_PEER, 300)), OWN_SERVICE_PEER, DrainNotice.class));
        }

        @Test
        void onlyAChangeInTheListMakesThisNodeLeave() {
            handle(list(SELF, VmState.LEAVING));
            assertFalse(membership.isLeaving());

            handle(list(SELF, VmState.LIVE));
            List<Effect> effects = handle(list(SELF, VmState.LEAVING));
            assertTrue(membership.isLeaving());
            assertEquals(1, sent(effects, OWN_SERVICE_PEER, DrainNotice.class));
        }
    }

    @Nested
    class Connections {

        @Test
        void areOpenedOnceClosedWhenGoneAndReopenedAtANewAddress() {
            assertEquals(
                    List.of(),
                    membership.watch(List.of(copy(SELF), copy(OWN_SERVICE_PEER)), List.of(copy(CALLED_SERVICE_PEER))));

            CopyEntry moved =
                    new CopyEntry(OWN_SERVICE_PEER, new AvailabilityZone("molo-nord"), "127.0.0.2", 1, 10, 100);
            assertEquals(
                    List.of(
                            new Effect.DisconnectPeer(CALLED_SERVICE_PEER),
                            new Effect.ConnectPeer(OWN_SERVICE_PEER, "127.0.0.2", 1)),
                    membership.watch(List.of(copy(SELF), moved), List.of()));
        }
    }

    @Test
    void theListIsReadLessOftenTheLongerItIs() {
        VmList large = new VmList(IntStream.range(0, 3_500)
                .boxed()
                .collect(Collectors.toMap(i -> new NodeName("node-" + i), _ -> VmState.LIVE)));
        handle(new Event.VmListRead(large));
        advance(Duration.ofSeconds(10), true);

        long reads = advance(Duration.ofMinutes(20), true).stream()
                .filter(Effect.ReadVmList.class::isInstance)
                .count();

        assertEquals(9, reads, 3);
    }
}
