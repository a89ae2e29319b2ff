package org.carawaysill.policy.fleet.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.carawaysill.model.fleet.EntryVersion;
import org.carawaysill.model.fleet.EntryVersion.Stage;
import org.carawaysill.model.fleet.KnownEntry;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.fleet.publication.Readers.Candidate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PublishedEntriesTest {

    private final PublishedEntries entries = new PublishedEntries();

    private static Revision at(long number) {
        return new Revision(0, number);
    }

    private static KnownEntry written(String key, long revision) {
        return new KnownEntry(key, at(revision), EntryVersion.NONE, Optional.of("text " + revision));
    }

    private static KnownEntry removed(String key, long revision) {
        return new KnownEntry(key, at(revision), EntryVersion.NONE.removed(), Optional.empty());
    }

    @Nested
    class Merging {

        @Test
        void keepsTheNewerWhoeverTellsIt() {
            entries.mergeAll(at(5), true, List.of(written("a", 5)));
            assertEquals(List.of(), entries.mergeReceived(at(0), false, List.of(written("a", 4))));
            assertEquals(List.of(written("a", 7)), entries.mergeReceived(at(0), false, List.of(written("a", 7))));
            assertEquals(List.of(), entries.mergeChanges(at(6), List.of(written("a", 6))));
        }

        @Test
        void takesWhatACompleteReadLacksForRemoved() {
            entries.mergeAll(at(5), true, List.of(written("a", 4), written("b", 5)));
            assertEquals(List.of(removed("a", 9)), entries.mergeAll(at(9), true, List.of(written("b", 5))));
        }

        @Test
        void doesNotTakeForRemovedWhatWasWrittenAfterTheRead() {
            entries.mergeReceived(at(0), false, List.of(written("a", 12)));
            assertEquals(List.of(), entries.mergeAll(at(9), true, List.of()));
        }

        /*
         * A copy is removed, and minutes later a node that was disconnected all the time sends its entry. If the entry
         * were merged, requests would go to an address that another service may use by then, because the platform
         * reports a removal only once.
         */
        @Test
        void takesNoEntryBackWhoseRemovalItForgot() {
            entries.mergeAll(at(5), true, List.of(written("a", 4), written("b", 5)));
            entries.mergeChanges(at(9), List.of(removed("a", 9)));
            assertEquals(List.of(), entries.discardRemoved(0));
            assertEquals(List.of(), entries.discardRemoved(Duration.ofMinutes(5).toNanos()));
            assertEquals(
                    List.of("a"), entries.discardRemoved(Duration.ofMinutes(6).toNanos()));
            assertEquals(Optional.empty(), entries.find("a"));
            assertEquals(Optional.of(written("b", 5)), entries.find("b"));
            assertEquals(List.of(), entries.mergeReceived(at(0), false, List.of(written("a", 4))));
        }

        @Test
        void remembersWhatCameBackInTime() {
            entries.mergeAll(at(9), true, List.of(removed("a", 9)));
            entries.discardRemoved(0);
            entries.mergeChanges(at(12), List.of(written("a", 12)));
            assertEquals(List.of(), entries.discardRemoved(Duration.ofMinutes(6).toNanos()));
            assertEquals(Optional.of(written("a", 12)), entries.find("a"));
        }

        /*
         * A node cannot read the platform for a while and receives everything from another node, which withholds a
         * removal that it does not trust yet. If the received revision counted as read, the platform would never report
         * the removal.
         */
        @Test
        void goesOnReadingFromWhereThePlatformStopped() {
            entries.mergeAll(at(5), true, List.of(written("a", 5)));
            entries.mergeReceived(at(0), false, List.of(written("b", 20)));
            assertEquals(at(5), entries.asOf());
        }
    }

    /** The platform was restored from an older state: era 2 begins at revision 20, era 1 had reached 30. */
    @Nested
    class Returns {

        private static final Revision BEFORE = new Revision(1, 30);
        private static final Revision SHOWN = new Revision(2, 18);
        private static final Revision RETURNED = new Revision(2, 20);

        private static KnownEntry copy(Revision revision, long write, Stage stage) {
            Optional<String> text = stage == Stage.REMOVED ? Optional.empty() : Optional.of("write " + write);
            return new KnownEntry("copy", revision, new EntryVersion(100, write, stage), text);
        }

        private void know(KnownEntry entry) {
            entries.mergeAll(new Revision(1, 10), true, List.of(copy(new Revision(1, 9), 1, Stage.PRESENT)));
            entries.mergeChanges(BEFORE, List.of(entry));
        }

        private void assertKnown(EntryVersion version, Revision revision) {
            KnownEntry known = entries.find("copy").orElseThrow();
            assertEquals(version, known.version());
            assertEquals(revision, known.revision());
        }

        /* Guards against sending requests to a copy that has left because the platform lists it as ready again. */
        @Test
        void leaveACopyThatHasLeft() {
            know(copy(BEFORE, 4, Stage.LEAVING));
            assertEquals(List.of(), entries.mergeAll(RETURNED, false, List.of(copy(SHOWN, 3, Stage.PRESENT))));
            assertKnown(new EntryVersion(100, 4, Stage.LEAVING), RETURNED);
        }

        /* Guards against the same if copies do not number their writes. */
        @Test
        void leaveACopyThatHasLeftAndDoesNotCount() {
            know(copy(BEFORE, 0, Stage.LEAVING));
            assertEquals(List.of(), entries.mergeAll(RETURNED, false, List.of(copy(SHOWN, 0, Stage.PRESENT))));
            List<KnownEntry> back = List.of(copy(new Revision(2, 21), 0, Stage.PRESENT));
            assertEquals(back, entries.mergeChanges(new Revision(2, 21), back));
        }

        /* Guards against rejecting a change because its revision was assigned before. */
        @Test
        void takeWhatIsWrittenAtARevisionOfBefore() {
            know(copy(BEFORE, 4, Stage.PRESENT));
            entries.mergeAll(RETURNED, false, List.of(copy(SHOWN, 3, Stage.PRESENT)));
            List<KnownEntry> leaves = List.of(copy(new Revision(2, 21), 5, Stage.LEAVING));
            assertEquals(leaves, entries.mergeChanges(new Revision(2, 21), leaves));
        }

        /* Guards against a node that started with the older state and rejects what others know. */
        @Test
        void takeWhatOthersKnowFromBefore() {
            entries.mergeAll(RETURNED, false, List.of(copy(SHOWN, 3, Stage.PRESENT)));
            List<KnownEntry> received = List.of(copy(BEFORE, 4, Stage.LEAVING));
            assertEquals(received, entries.mergeReceived(BEFORE, false, received));
        }

        /* Guards against a node that has not read yet and takes the older state for newer because of its era. */
        @Test
        void doNotTakeWhatOthersReadOfTheOlderCopy() {
            know(copy(BEFORE, 4, Stage.LEAVING));
            assertEquals(List.of(), entries.mergeReceived(SHOWN, false, List.of(copy(SHOWN, 3, Stage.PRESENT))));
        }

        /* Guards against sending requests to a removed copy, and against never sending any to a running one. */
        @Test
        void restoreARemovedCopyOnlyOnceThePlatformIsTrusted() {
            know(copy(BEFORE, 4, Stage.REMOVED));
            List<KnownEntry> shown = List.of(copy(SHOWN, 3, Stage.PRESENT));
            assertEquals(List.of(), entries.mergeAll(RETURNED, false, shown));
            assertTrue(entries.listsRemovedEntry(shown));
            List<KnownEntry> restored = entries.mergeAll(RETURNED, true, shown);
            assertEquals(1, restored.size());
            PublishedEntries others = new PublishedEntries();
            others.mergeReceived(BEFORE, false, List.of(copy(BEFORE, 4, Stage.REMOVED)));
            assertEquals(restored, others.mergeReceived(RETURNED, false, restored));
        }

        /* Guards against taking changes of another era for a continuation, which misses what was written before. */
        @Test
        void areNotContinuedByAWatch() {
            know(copy(BEFORE, 4, Stage.PRESENT));
            entries.mergeChanges(new Revision(2, 31), List.of());
            assertEquals(BEFORE, entries.asOf());
        }

        @Test
        void countWhatIsKnownBeyondTheCopy() {
            know(copy(BEFORE, 4, Stage.PRESENT));
            assertEquals(1, entries.writtenAfter(RETURNED));
        }
    }

    /** Versions received from several sources in any order result in the newest of each key. */
    @Property(seed = "5")
    void endsAlikeInAnyOrder(@ForAll List<@IntRange(min = 1, max = 40) Integer> revisions) {
        Map<String, Long> newest = new HashMap<>();
        PublishedEntries merged = new PublishedEntries();
        for (int revision : revisions) {
            String key = "key " + revision % 3;
            merged.mergeReceived(at(0), false, List.of(written(key, revision)));
            newest.merge(key, (long) revision, Math::max);
        }
        Map<String, Long> known = new HashMap<>();
        for (int key = 0; key < 3; key++) {
            merged.find("key " + key)
                    .ifPresent(entry -> known.put(entry.key(), entry.revision().number()));
        }
        assertEquals(newest, known);
    }

    @Nested
    class Reading {

        private static final List<Candidate> FLEET = List.of(
                candidate("10.1.0.1", "north"),
                candidate("10.1.0.2", "north"),
                candidate("10.2.0.1", "south"),
                candidate("10.2.0.2", "south"),
                candidate("10.2.0.3", "south"));

        private static Candidate candidate(String node, String zone) {
            return new Candidate(new NodeName(node), new AvailabilityZone(zone));
        }

        private static long readers(List<Candidate> candidates) {
            return candidates.stream()
                    .filter(each -> Readers.isReader(each.node(), candidates))
                    .count();
        }

        @Test
        void isDoneByOneInEachZone() {
            assertEquals(2, readers(FLEET));
        }

        @Test
        void isDoneByTwoWhereThereIsOneZone() {
            assertEquals(2, readers(FLEET.subList(2, 5)));
        }

        /*
         * The platform rejects the node that reads for its zone. That node reports this to the others, and the next in
         * rank takes over without further messages.
         */
        @Test
        void isTakenOverWhereAReaderCanNotRead() {
            Candidate reader = FLEET.stream()
                    .filter(each -> Readers.isReader(each.node(), FLEET))
                    .findFirst()
                    .orElseThrow();
            List<Candidate> rest =
                    FLEET.stream().filter(each -> !each.equals(reader)).toList();
            assertEquals(2, readers(rest));
            assertTrue(rest.stream()
                    .anyMatch(each -> each.zone().equals(reader.zone()) && Readers.isReader(each.node(), rest)));
        }
    }
}
