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

class MembershipTest {

    private static final NodeName SELF = new NodeName("tracker-1");
    private static final NodeName MATE = new NodeName("tracker-2");
    private static final NodeName CALLED = new NodeName("manifests-1");
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
    void watchesANodeOfItsServiceAndACalledOne() {
        membership = new Membership(SELF, MembershipSettings.DEFAULT, new SplittableRandom(1));
        membership.watch(List.of(copy(SELF), copy(MATE)), List.of(copy(CALLED)));
        handle(new Event.PeerConnected(MATE, 100));
        handle(new Event.PeerConnected(CALLED, 100));
    }

    private static CopyEntry copy(NodeName node) {
        return new CopyEntry(node, new AvailabilityZone("molo-nord"), "127.0.0.1", 1, 10, 100);
    }

    private List<Effect> handle(Event event) {
        return membership.handle(now, event, CONTENT);
    }

    /** Wakes it as often as it asks, with both peers alive or not, and collects what it does. */
    private List<Effect> pass(Duration duration, boolean peersLive) {
        List<Effect> effects = new ArrayList<>();
        long end = now.nanos() + duration.toNanos();
        long nextSign = now.nanos();
        while (Math.min(membership.nextWakeNanos(), nextSign) <= end) {
            now = new Moment(Math.max(now.nanos(), Math.min(membership.nextWakeNanos(), nextSign)), 0);
            if (peersLive && now.nanos() >= nextSign) {
                effects.addAll(handle(heartbeat(MATE)));
                effects.addAll(handle(heartbeat(CALLED)));
            }
            nextSign =
                    now.nanos() >= nextSign ? nextSign + Duration.ofSeconds(1).toNanos() : nextSign;
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
        void livingPeersStayUsable() {
            pass(Duration.ofSeconds(60), true);

            assertEquals(Map.of(MATE, PeerState.LIVE, CALLED, PeerState.LIVE), membership.states(now.nanos()));
        }

        @Test
        void aSilentPeerIsSuspectedUntilItIsHeardAgain() {
            pass(Duration.ofSeconds(5), false);
            assertEquals(PeerState.SUSPECTED, state(MATE));
            assertEquals(PeerState.LIVE, state(CALLED));
            assertFalse(membership.mayGetNewWork(now.nanos(), MATE));

            handle(heartbeat(MATE));
            assertEquals(PeerState.LIVE, state(MATE));
        }

        @Test
        void aLostConnectionShowsAtOnce() {
            handle(new Event.PeerLost(MATE));

            assertEquals(PeerState.UNREACHABLE, state(MATE));
        }

        // Story: this process is paused for a minute. On waking it handles a timer before the messages that wait
        // unread,
        // believes all others dead and refuses every request for want of a copy.
        @Test
        void afterItsOwnPauseItSuspectsNobody() {
            pass(Duration.ofSeconds(10), true);
            now = now.plus(Duration.ofSeconds(60));

            handle(new Event.WakeUp());

            assertEquals(PeerState.LIVE, state(MATE));
        }

        @Test
        void onlyChangesAreLogged() {
            List<Effect> effects = pass(Duration.ofSeconds(20), false);

            assertEquals(
                    2,
                    effects.stream().filter(Effect.LogChange.class::isInstance).count());
        }
    }

    @Nested
    class Heartbeats {

        @Test
        void goEachSecondWithinTheServiceAndEachThreeSecondsToOthers() {
            List<Effect> effects = pass(Duration.ofSeconds(30), true);

            assertEquals(30, sent(effects, MATE, Heartbeat.class), 1);
            assertEquals(10, sent(effects, CALLED, Heartbeat.class), 1);
        }

        @Test
        void areSparedWhileOtherMessagesAreSentButNotForLong() {
            List<Effect> effects = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                membership.sent(now.nanos(), MATE);
                effects.addAll(pass(Duration.ofMillis(500), true));
            }

            assertEquals(15, sent(effects, MATE, Heartbeat.class), 2);
        }

        @Test
        void doNotGrowWithTheService() {
            List<CopyEntry> many = IntStream.range(1, 201)
                    .mapToObj(i -> copy(new NodeName("tracker-" + i)))
                    .toList();
            membership.watch(many, List.of());
            many.forEach(copy -> handle(new Event.PeerConnected(copy.node(), 100)));

            List<Effect> effects = pass(Duration.ofSeconds(60), false);

            long perSecond =
                    effects.stream().filter(Effect.SendToPeer.class::isInstance).count() / 60;
            assertTrue(perSecond <= 34, () -> perSecond + " heartbeats per second");
        }
    }

    @Nested
    class Leaving {

        // Story: a copy is stopped as planned. Its notice reaches its peers; the VM list shows it as live for a minute
        // yet.
        // Work sent to it in that minute would be refused, or cut off when it goes.
        @Test
        void aNoticeEndsNewWorkThoughTheListLags() {
            handle(new Event.PeerReceived(MATE, new DrainNotice()));
            handle(list(MATE, VmState.LIVE));
            handle(heartbeat(MATE));

            assertEquals(PeerState.LEAVING, state(MATE));
            assertFalse(membership.mayGetNewWork(now.nanos(), MATE));
        }

        // Story: the notice is lost with a connection that broke as it was sent; the node still refuses work as
        // draining.
        @Test
        void aRefusalAsDrainingEndsNewWork() {
            Outcome refused =
                    new Outcome.NotRun(RefusalReason.DRAINING, Duration.ofSeconds(1), Step.ADMISSION, Optional.empty());
            handle(new Event.PeerReceived(
                    MATE, new PeerMessage.PeerAnswer(new AttemptIdentifier(1, 1), refused, 0, LOAD, List.of())));

            assertEquals(PeerState.LEAVING, state(MATE));
        }

        // Story: a node passes on that a third one refused as draining; it must not be taken for the one that leaves.
        @Test
        void aRefusalOfAThirdNodeDoesNot() {
            Outcome refused = new Outcome.NotRun(
                    RefusalReason.DRAINING, Duration.ofSeconds(1), Step.PEER_WAIT, Optional.of(CALLED));
            handle(new Event.PeerReceived(
                    MATE, new PeerMessage.PeerAnswer(new AttemptIdentifier(1, 1), refused, 0, LOAD, List.of())));

            assertEquals(PeerState.LIVE, state(MATE));
        }

        @Test
        void theListEndsNewWorkToo() {
            handle(list(CALLED, VmState.LEAVING));

            assertEquals(PeerState.LEAVING, state(CALLED));
        }

        // Story: a node leaves and a new process starts under its name. The connection of the old one may come back
        // once
        // more, and the list may show the old VM as leaving for a while; only the new process may get work.
        @Test
        void aNewProcessUnderTheNameStartsClean() {
            handle(list(MATE, VmState.LEAVING));
            handle(new Event.PeerLost(MATE));
            handle(new Event.PeerConnected(MATE, 100));
            assertEquals(PeerState.LEAVING, state(MATE));

            handle(new Event.PeerLost(MATE));
            handle(new Event.PeerConnected(MATE, 200));
            handle(list(MATE, VmState.LEAVING));
            assertEquals(PeerState.LIVE, state(MATE));
        }

        @Test
        void whoLeavesTellsAllAtOnceAndAgainUntilItGoes() {
            List<Effect> first = handle(new Event.DrainOrdered());
            List<Effect> later = pass(Duration.ofSeconds(10), true);

            assertEquals(1, sent(first, MATE, DrainNotice.class));
            assertEquals(1, sent(first, CALLED, DrainNotice.class));
            assertTrue(sent(later, MATE, DrainNotice.class) >= 9);
            assertEquals(1, sent(handle(new Event.PeerConnected(MATE, 300)), MATE, DrainNotice.class));
        }

        @Test
        void theListTellsThisNodeThatItLeavesButNotByWhatItSaidBefore() {
            handle(list(SELF, VmState.LEAVING));
            assertFalse(membership.isLeaving());

            handle(list(SELF, VmState.LIVE));
            List<Effect> effects = handle(list(SELF, VmState.LEAVING));
            assertTrue(membership.isLeaving());
            assertEquals(1, sent(effects, MATE, DrainNotice.class));
        }
    }

    @Nested
    class Connections {

        @Test
        void areOpenedOnceClosedWhenGoneAndReopenedAtANewAddress() {
            assertEquals(List.of(), membership.watch(List.of(copy(SELF), copy(MATE)), List.of(copy(CALLED))));

            CopyEntry moved = new CopyEntry(MATE, new AvailabilityZone("molo-nord"), "127.0.0.2", 1, 10, 100);
            assertEquals(
                    List.of(new Effect.DisconnectPeer(CALLED), new Effect.ConnectPeer(MATE, "127.0.0.2", 1)),
                    membership.watch(List.of(copy(SELF), moved), List.of()));
        }
    }

    @Test
    void theListIsReadLessOftenTheLongerItIs() {
        VmList large = new VmList(IntStream.range(0, 3_500)
                .boxed()
                .collect(Collectors.toMap(i -> new NodeName("node-" + i), _ -> VmState.LIVE)));
        handle(new Event.VmListRead(large));
        pass(Duration.ofSeconds(10), true);

        long reads = pass(Duration.ofMinutes(20), true).stream()
                .filter(Effect.ReadVmList.class::isInstance)
                .count();

        assertEquals(9, reads, 3);
    }
}
