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
import org.carawaysill.model.fleet.PublishedEntry;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.fleet.publication.Readers.Candidate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PublishedEntriesTest {

    private final PublishedEntries entries = new PublishedEntries();

    private static PublishedEntry written(String key, long revision) {
        return new PublishedEntry(key, revision, Optional.of("text " + revision));
    }

    private static PublishedEntry removed(String key, long revision) {
        return new PublishedEntry(key, revision, Optional.empty());
    }

    @Nested
    class Merging {

        @Test
        void keepsTheNewerWhoeverTellsIt() {
            entries.merge(5, true, List.of(written("a", 5)));
            assertEquals(List.of(), entries.mergeTold(0, false, List.of(written("a", 4))));
            assertEquals(List.of(written("a", 7)), entries.mergeTold(0, false, List.of(written("a", 7))));
            assertEquals(List.of(), entries.merge(6, false, List.of(written("a", 6))));
        }

        @Test
        void takesWhatACompleteReadLacksForRemoved() {
            entries.merge(5, true, List.of(written("a", 4), written("b", 5)));
            assertEquals(List.of(removed("a", 9)), entries.merge(9, true, List.of(written("b", 5))));
        }

        @Test
        void doesNotTakeForRemovedWhatWasWrittenAfterTheRead() {
            entries.mergeTold(0, false, List.of(written("a", 12)));
            assertEquals(List.of(), entries.merge(9, true, List.of()));
        }

        /*
         * A copy was removed, and minutes later a node that had been cut off all the time told its entry. Were that taken in,
         * requests would go to an address that another service may use by then: the platform tells a removal once.
         */
        @Test
        void takesNoEntryBackWhoseRemovalItForgot() {
            entries.merge(5, true, List.of(written("a", 4), written("b", 5)));
            entries.merge(9, false, List.of(removed("a", 9)));
            assertEquals(List.of(), entries.forgetRemoved(0));
            assertEquals(List.of(), entries.forgetRemoved(Duration.ofMinutes(5).toNanos()));
            assertEquals(
                    List.of("a"), entries.forgetRemoved(Duration.ofMinutes(6).toNanos()));
            assertEquals(Optional.empty(), entries.find("a"));
            assertEquals(Optional.of(written("b", 5)), entries.find("b"));
            assertEquals(List.of(), entries.mergeTold(0, false, List.of(written("a", 4))));
        }

        @Test
        void remembersWhatCameBackInTime() {
            entries.merge(9, true, List.of(removed("a", 9)));
            entries.forgetRemoved(0);
            entries.merge(12, false, List.of(written("a", 12)));
            assertEquals(List.of(), entries.forgetRemoved(Duration.ofMinutes(6).toNanos()));
            assertEquals(Optional.of(written("a", 12)), entries.find("a"));
        }

        /*
         * A node could not read the platform for a while and was told everything by another one, which holds back a removal
         * that it does not trust yet. Were the told revision taken for read, the platform would never tell the removal.
         */
        @Test
        void goesOnReadingFromWhereThePlatformStopped() {
            entries.merge(5, true, List.of(written("a", 5)));
            entries.mergeTold(0, false, List.of(written("b", 20)));
            assertEquals(5, entries.asOf());
        }
    }

    /** Versions told by several sources in any order end in the newest of each key. */
    @Property(seed = "5")
    void endsAlikeInAnyOrder(@ForAll List<@IntRange(min = 1, max = 40) Integer> revisions) {
        Map<String, Long> newest = new HashMap<>();
        PublishedEntries merged = new PublishedEntries();
        for (int revision : revisions) {
            String key = "key " + revision % 3;
            merged.mergeTold(0, false, List.of(written(key, revision)));
            newest.merge(key, (long) revision, Math::max);
        }
        Map<String, Long> known = new HashMap<>();
        for (int key = 0; key < 3; key++) {
            merged.find("key " + key).ifPresent(entry -> known.put(entry.key(), entry.revision()));
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
         * The platform turns away the node that reads for its zone. It says so to the others, and the next in rank takes
         * over without a word between them.
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
