package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.carawaysill.model.fleet.PublishedEntry;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.carawaysill.policy.message.PeerMessage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PublicationExchangeTest extends SettledFleet {

    @Nested
    class Entries {

        /*
         * Guards against every node reading all entries when all nodes start at the same moment and none knows another.
         * Such a read takes two or more calls of the platform, which limits and charges each call; a node that gets the
         * entries from another node needs no read.
         */
        @Test
        void areReadByFewNodesAndSentToTheRest() {
            settled(95);
            assertTrue(fleet.reads < 95 / 2 + 3 * 15, () -> fleet.reads + " reads");
        }

        /*
         * Guards against full requests after the restart of a node in an unchanged fleet. The node has seen newer
         * revisions than the others, which are those of heartbeats: they requested all entries from it, 25 kB for each
         * node.
         */
        @Test
        void areNotRequestedWhereNothingIsNew() {
            settled(40);
            nodes.forEach(node -> node.publish(false));
            fleet.runUntil(SETTLED + 2 * SECOND);
            long before = fleet.sentCount(PeerMessage.Entries.class);
            VirtualNode node = lastRanked(zone(0));
            node.kill();
            node.restart();
            fleet.runUntil(SETTLED + 6 * SECOND);
            assertTrue(fleet.sentCount(PeerMessage.Entries.class) - before <= 3);
        }

        /*
         * Guards against requesting all entries from another zone after a restart. The node got them from whichever
         * node connected first, mostly one of another zone; with a thousand routes these are 300 kB.
         */
        @Test
        void areRequestedInTheOwnZone() {
            settled(40);
            VirtualNode node = lastRanked(zone(0));
            node.kill();
            fleet.runUntil(SETTLED + SECOND);
            long before = fleet.control.bytesAcrossZones;
            node.restart();
            fleet.runUntil(fleet.now + 400 * MILLI);
            assertTrue(node.ready);
            long entries = 260 * 40;
            long across = fleet.control.bytesAcrossZones - before;
            // 400 ms of summaries between zones, and the first messages of 32 connections, both ways.
            assertTrue(across < 0.4 * 50_000 + 64 * 70 + entries / 2, () -> across + " bytes");
        }

        /*
         * Guards against a node that reads everything at the moment when the entry of a copy has lapsed and is not back
         * yet. The readers see the two changes together as none, so that no node sends it the entry, and it would never
         * use that copy again.
         */
        @Test
        void thatOneNodeMissedAreReadAgain() {
            settled(20);
            VirtualNode node = lastRanked(zone(0));
            VirtualNode missed = zone(1).getFirst();
            List<PublishedEntry> others = fleet.platform.values().stream()
                    .filter(entry -> !entry.key().endsWith(missed.copy()))
                    .toList();
            long newest = fleet.platform.values().stream()
                    .mapToLong(PublishedEntry::revision)
                    .max()
                    .orElseThrow();
            node.deliver(new FleetEvent.EntriesRead(fleet.era, newest, true, others));
            assertEquals("gone", lastStateOf(missed, node));
            missed.publish(false);
            fleet.runUntil(SETTLED + 6 * SECOND);
            assertEquals("ready", lastStateOf(missed, node));
        }

        private String lastStateOf(VirtualNode copy, VirtualNode node) {
            return node.log.stream()
                    .filter(Decision.CopyChanged.class::isInstance)
                    .map(Decision.CopyChanged.class::cast)
                    .filter(change -> change.copy().value().equals(copy.copy()))
                    .reduce((_, last) -> last)
                    .orElseThrow()
                    .state();
        }
    }
}
