package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The platform is restored from an older state: it has lost acknowledged writes, and assigns their revisions again. */
class PlatformReturnTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;

    /** The time within which a change must be in force, and after which a leaving copy must get no work. */
    private static final long BOUND = VirtualFleet.DRAIN_LIMIT.toNanos();

    private static final long AWAY = 400 * MILLI;
    private static final long WRITTEN_AGAIN_AFTER = 300 * MILLI;
    private static final long COPY_AGE = 3 * SECOND;

    /** When the platform becomes unavailable for the first time. */
    private static final long AWAY_FROM = 12 * SECOND;

    private static final int CHANGES_LOST = 5;
    private static final long CHANGES_APART = 500 * MILLI;

    private static final int NODES_OF_A_SERVICE = 7;
    private static final long REQUESTS_APART = 5 * MILLI;

    private final VirtualFleet fleet = new VirtualFleet(23);
    private final ChangingRoute route = new ChangingRoute(fleet);
    private long changedAt;

    PlatformReturnTest() {
        IntStream.range(0, NODES_OF_A_SERVICE).forEach(this::addLeft);
        IntStream.range(0, NODES_OF_A_SERVICE)
                .forEach(i -> route.add(ChangingRoute.RIGHT, i, 100 + i, ChangingRoute.HEARTBEAT));
        route.configure();
        fleet.runUntil(8 * SECOND);
    }

    private VirtualNode addLeft(int index) {
        return route.add(ChangingRoute.LEFT, index, index, ChangingRoute.HEARTBEAT);
    }

    private void change() {
        route.change();
        changedAt = fleet.now;
    }

    private void returnsOlder(long at) {
        route.returnOlder(at, COPY_AGE, AWAY, () -> {});
    }

    private void operatorWritesAgain(long at) {
        fleet.at(at, route::writeAgain);
    }

    /** Sends requests to all nodes in turn until a moment; returns how many ran under an older configuration. */
    private long runsByAnOlderConfiguration(long until) {
        List<VirtualNode> nodes = List.copyOf(fleet.nodes.values());
        long wrong = 0;
        int seen = 0;
        for (int i = 0; fleet.now < until; i++) {
            VirtualNode entry = nodes.get(i % nodes.size());
            fleet.send(entry, "request " + fleet.now, ChangingRoute.PATH, SECOND, (_, _) -> {});
            fleet.runUntil(fleet.now + REQUESTS_APART);
            for (; seen < fleet.runs.size(); seen++) {
                boolean current = route.serviceOf(fleet.runs.get(seen)).equals(route.service());
                wrong += !current && fleet.runs.get(seen).at() - changedAt > BOUND ? 1 : 0;
            }
        }
        return wrong;
    }

    private long requestsTo(String copy, long from) {
        return fleet.runs.stream()
                .filter(run -> run.copy().equals(copy) && run.at() > from)
                .count();
    }

    private void changesJustBeforeTheReturn() {
        for (int changes = 1; changes <= CHANGES_LOST; changes++) {
            fleet.at(AWAY_FROM - changes * CHANGES_APART, this::change);
        }
    }

    @Nested
    class Configuration {

        /*
         * Guards against nodes that ignore every change after the return because they have already seen its revision.
         */
        @Test
        void thatIsWrittenAfterTheReturnIsInForceInTime() {
            changesJustBeforeTheReturn();
            returnsOlder(AWAY_FROM);
            operatorWritesAgain(AWAY_FROM + AWAY + WRITTEN_AGAIN_AFTER);
            fleet.at(AWAY_FROM + 2 * SECOND, PlatformReturnTest.this::change);
            assertEquals(0, runsByAnOlderConfiguration(AWAY_FROM + 8 * SECOND));
        }

        /* Guards against a watch that continues from an old revision and silently misses changes written below it. */
        @Test
        void thatIsBelowTheRevisionsThatNodesKnowIsInForceInTime() {
            changesJustBeforeTheReturn();
            returnsOlder(AWAY_FROM);
            fleet.at(AWAY_FROM + AWAY + 1, () -> {
                change();
                IntStream.range(0, 400).forEach(i -> fleet.publish("other " + i, Optional.empty()));
            });
            assertEquals(0, runsByAnOlderConfiguration(AWAY_FROM + 8 * SECOND));
        }

        /* Guards against falling back to an older version while the platform shows it. */
        @Test
        void staysInForceWhileThePlatformShowsAnOlderOne() {
            changesJustBeforeTheReturn();
            returnsOlder(AWAY_FROM);
            assertEquals(0, runsByAnOlderConfiguration(AWAY_FROM + 6 * SECOND));
        }

        /*
         * Guards against a node that starts while the platform shows an older state and never receives what the others
         * know.
         */
        @Test
        void isSentToNodesThatStartWhileThePlatformShowsAnOlderOne() {
            changesJustBeforeTheReturn();
            returnsOlder(AWAY_FROM);
            restartEverySecondNode(AWAY_FROM + AWAY);
            assertEquals(0, runsByAnOlderConfiguration(AWAY_FROM + 6 * SECOND));
        }

        /* Guards against handling two returns in quick succession as one. */
        @ParameterizedTest
        @ValueSource(longs = {500, 1200, 3500})
        void isInForceInTimeAfterTwoReturns(long apartMillis) {
            changesJustBeforeTheReturn();
            returnsOlder(AWAY_FROM);
            returnsOlder(AWAY_FROM + AWAY + apartMillis * MILLI);
            long lastReturn = AWAY_FROM + 2 * AWAY + apartMillis * MILLI;
            operatorWritesAgain(lastReturn + WRITTEN_AGAIN_AFTER);
            fleet.at(lastReturn + SECOND, PlatformReturnTest.this::change);
            fleet.at(lastReturn + 4 * SECOND, PlatformReturnTest.this::change);
            assertEquals(0, runsByAnOlderConfiguration(lastReturn + 8 * SECOND));
        }

        /* Guards against nodes that receive a change only from other nodes and mistake it for one that they know. */
        @Test
        void reachesNodesThatThePlatformRefuses() {
            List<VirtualNode> nodes = List.copyOf(fleet.nodes.values());
            IntStream.range(0, nodes.size() / 3).forEach(i -> nodes.get(i * 3).readable = false);
            changesJustBeforeTheReturn();
            returnsOlder(AWAY_FROM);
            operatorWritesAgain(AWAY_FROM + AWAY + WRITTEN_AGAIN_AFTER);
            fleet.at(AWAY_FROM + 2 * SECOND, PlatformReturnTest.this::change);
            fleet.at(AWAY_FROM + 5 * SECOND, PlatformReturnTest.this::change);
            assertEquals(0, runsByAnOlderConfiguration(AWAY_FROM + 9 * SECOND));
        }
    }

    private void restartEverySecondNode(long at) {
        List<VirtualNode> nodes = List.copyOf(fleet.nodes.values());
        fleet.at(
                at,
                () -> IntStream.range(0, nodes.size() / 2)
                        .mapToObj(i -> nodes.get(2 * i))
                        .forEach(VirtualNode::kill));
        fleet.at(
                at + 300 * MILLI,
                () -> nodes.stream().filter(node -> !node.alive).forEach(VirtualNode::restart));
    }

    @Nested
    class Copies {

        private VirtualNode leaving;

        private void leaves(long at, boolean announced) {
            leaving = fleet.nodes.values().iterator().next();
            fleet.at(at, () -> {
                if (announced) {
                    leaving.publish(true);
                } else {
                    leaving.unpublish();
                }
            });
        }

        /* Guards against work for a copy that has left because the platform shows it as ready again. */
        @ParameterizedTest
        @ValueSource(booleans = {true, false})
        void thatLeaveGetNoWorkWhileThePlatformShowsThemReady(boolean announced) {
            long left = AWAY_FROM - SECOND;
            leaves(left, announced);
            returnsOlder(AWAY_FROM);
            runsByAnOlderConfiguration(AWAY_FROM + 6 * SECOND);
            assertEquals(0, requestsTo(leaving.copy(), left + BOUND));
        }

        /*
         * Guards against nodes that start while the platform shows an older state and send work to a copy that has
         * left.
         */
        @ParameterizedTest
        @ValueSource(booleans = {true, false})
        void thatLeaveGetNoWorkFromNodesThatStartMeanwhile(boolean announced) {
            long left = AWAY_FROM - SECOND;
            leaves(left, announced);
            returnsOlder(AWAY_FROM);
            restartEverySecondNode(AWAY_FROM + AWAY);
            runsByAnOlderConfiguration(AWAY_FROM + 6 * SECOND);
            assertEquals(0, requestsTo(leaving.copy(), left + BOUND));
        }

        /* Guards against ignoring a leave after the return because nodes have already seen its revision. */
        @ParameterizedTest
        @ValueSource(booleans = {true, false})
        void thatLeaveAfterTheReturnGetNoWorkInTime(boolean announced) {
            long left = AWAY_FROM + AWAY + SECOND;
            leaves(left, announced);
            returnsOlder(AWAY_FROM);
            runsByAnOlderConfiguration(AWAY_FROM + 8 * SECOND);
            long slack = announced ? 0 : SECOND;
            assertEquals(0, requestsTo(leaving.copy(), left + BOUND + slack));
        }

        /* Guards against dropping a live copy because the platform has lost its entry for a moment. */
        @Test
        void thatThePlatformHasLostStayInUse() {
            VirtualNode[] added = new VirtualNode[1];
            fleet.at(AWAY_FROM - 1500 * MILLI, () -> added[0] = addLeft(NODES_OF_A_SERVICE));
            returnsOlder(AWAY_FROM);
            runsByAnOlderConfiguration(AWAY_FROM + 4 * SECOND);
            for (long from = AWAY_FROM; from < AWAY_FROM + 3 * SECOND; from += 500 * MILLI) {
                long since = from;
                assertTrue(
                        fleet.runs.stream()
                                .anyMatch(run -> run.copy().equals(added[0].copy())
                                        && run.at() >= since
                                        && run.at() < since + 500 * MILLI),
                        () -> "no work from " + (since - AWAY_FROM) / MILLI + " ms after the platform went away");
            }
        }
    }
}
