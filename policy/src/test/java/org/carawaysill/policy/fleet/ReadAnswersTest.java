package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.KnownEntry;
import org.carawaysill.model.fleet.PublishedEntry;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.publication.PlatformReads;
import org.carawaysill.policy.fleet.publication.PublicationDecoder;
import org.carawaysill.policy.fleet.publication.PublicationDecoder.Publication;
import org.carawaysill.policy.fleet.publication.PublishedEntries;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReadAnswersTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final PublishedEntries entries = new PublishedEntries();
    private final PlatformReads reads = new PlatformReads(0, Duration.ofSeconds(2), new SplittableRandom(3));
    private final Effects effects = new Effects();
    private final PublicationDecoder decoder = (key, text) -> new Publication.Listed(new CopyRecord(
            new CopyName(key),
            0,
            Long.parseLong(text),
            new ServiceName("front"),
            new NetworkAddress("10.0.0.1", 80),
            new AvailabilityZone("zone"),
            4,
            false,
            Duration.ZERO));
    private final ReadAnswers answers = new ReadAnswers(effects, decoder, entries, reads);

    /** Returns an entry whose text is its writer's count of writes. */
    private static PublishedEntry written(long revision, long write) {
        return new PublishedEntry("copy", revision, Optional.of(Long.toString(write)));
    }

    private static PublishedEntry removed(long revision) {
        return new PublishedEntry("copy", revision, Optional.empty());
    }

    private List<KnownEntry> receive(long now, long era, long asOf, boolean complete, PublishedEntry... given) {
        reads.start(now, entries.asOf());
        FleetEvent.EntriesRead read = new FleetEvent.EntriesRead(OptionalLong.of(era), asOf, complete, List.of(given));
        return answers.receive(now, read, Revision.NONE, 1).entries();
    }

    private long logged(Class<? extends Decision> kind) {
        return effects.drain().stream()
                .filter(effect -> effect instanceof FleetEffect.Log(Decision decision) && kind.isInstance(decision))
                .count();
    }

    @Nested
    class Changes {

        /* Guards against a copy that stays in use because it wrote once more just before its entry was removed. */
        @Test
        void thatWriteAndRemoveAnEntryEndInItsRemoval() {
            receive(0, 1, 5, true, written(5, 1));
            List<KnownEntry> newer = receive(SECOND, 1, 7, false, written(6, 2), removed(7));
            assertTrue(newer.getLast().isRemoved());
            assertTrue(entries.find("copy").orElseThrow().isRemoved());
        }

        @Test
        void thatRemoveAndWriteAnEntryEndInItsPresence() {
            receive(0, 1, 5, true, written(5, 1));
            receive(SECOND, 1, 7, false, removed(6), written(7, 2));
            assertEquals("2", entries.find("copy").orElseThrow().text().orElseThrow());
        }

        /*
         * Guards against another writer that uses a copy's key with a greater count: the copy's next write must take
         * effect.
         */
        @Test
        void ofACopyFollowThoseOfAnotherWriter() {
            receive(0, 1, 5, true, written(5, 1));
            receive(SECOND, 1, 6, false, written(6, 1_000_000));
            receive(2 * SECOND, 1, 7, false, written(7, 2));
            assertEquals("2", entries.find("copy").orElseThrow().text().orElseThrow());
        }

        /*
         * Guards against losing copies that do not count their writes and whose entry comes back only at a greater
         * revision.
         */
        @Test
        void ofAWriterThatDoesNotCountFollowTheRevision() {
            receive(0, 1, 5, true, written(5, 0));
            receive(SECOND, 1, 6, false, removed(6));
            receive(2 * SECOND, 1, 7, false, written(7, 0));
            assertTrue(entries.find("copy").orElseThrow().text().isPresent());
        }
    }

    @Nested
    class Returns {

        /* Guards against treating the changes of another era as all changes. */
        @Test
        void letEverythingBeReadAtOnce() {
            receive(0, 1, 5, true, written(5, 1));
            receive(SECOND, 2, 9, false);
            assertEquals(SECOND, reads.dueNanos());
            assertEquals(
                    OptionalLong.empty(), reads.start(SECOND, entries.asOf()).after());
        }

        @Test
        void areLoggedOnce() {
            receive(0, 1, 5, true, written(5, 1));
            effects.drain();
            receive(SECOND, 2, 4, true);
            receive(2 * SECOND, 2, 4, false);
            assertEquals(1, logged(Decision.EraChanged.class));
        }
    }
}
