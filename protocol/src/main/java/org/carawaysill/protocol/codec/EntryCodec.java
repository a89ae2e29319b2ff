package org.carawaysill.protocol.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.fleet.EntryVersion;
import org.carawaysill.model.fleet.KnownEntry;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.policy.message.ChangesSince;
import org.carawaysill.policy.message.PeerMessage.Entries;
import org.carawaysill.policy.message.PeerMessage.EntriesWanted;
import org.carawaysill.protocol.generated.EntriesFrame;
import org.carawaysill.protocol.generated.EntriesWantedFrame;
import org.carawaysill.protocol.generated.EntryStage;
import org.carawaysill.protocol.generated.PublishedEntryFrame;

/** Encodes and decodes published entries and requests for them. Stateless and thread safe. */
final class EntryCodec {

    private EntryCodec() {}

    static Revision revision(long era, long number) throws ProtocolFault {
        if (era < Revision.UNKNOWN_ERA) {
            throw new ProtocolFault(ProtocolFault.Kind.OUT_OF_RANGE, "era");
        }
        return new Revision(era, Fields.notNegative(number, "revision"));
    }

    static EntriesWantedFrame encode(EntriesWanted wanted) {
        EntriesWantedFrame.Builder frame = EntriesWantedFrame.newBuilder();
        return switch (wanted.since()) {
            case ChangesSince.AtPosition(long position) ->
                frame.setSincePosition(position).build();
            case ChangesSince.AtRevision(Revision revision) ->
                frame.setSince(revision.number()).setSinceEra(revision.era()).build();
        };
    }

    static EntriesWanted decode(EntriesWantedFrame frame) throws ProtocolFault {
        return new EntriesWanted(
                frame.hasSincePosition()
                        ? new ChangesSince.AtPosition(Fields.notNegative(frame.getSincePosition(), "position"))
                        : new ChangesSince.AtRevision(revision(frame.getSinceEra(), frame.getSince())));
    }

    static EntriesFrame encode(Entries entries) {
        EntriesFrame.Builder frame = EntriesFrame.newBuilder()
                .setPosition(entries.position())
                .setUpTo(entries.upTo().number())
                .setUpToEra(entries.upTo().era())
                .setComplete(entries.complete());
        entries.entries().forEach(entry -> frame.addEntries(encode(entry)));
        return frame.build();
    }

    static Entries decode(EntriesFrame frame) throws ProtocolFault {
        List<KnownEntry> entries = new ArrayList<>(frame.getEntriesCount());
        for (PublishedEntryFrame entry : frame.getEntriesList()) {
            entries.add(decode(entry));
        }
        return new Entries(
                Fields.notNegative(frame.getPosition(), "position"),
                revision(frame.getUpToEra(), frame.getUpTo()),
                frame.getComplete(),
                entries);
    }

    private static PublishedEntryFrame encode(KnownEntry entry) {
        PublishedEntryFrame.Builder frame = PublishedEntryFrame.newBuilder()
                .setKey(entry.key())
                .setRevision(entry.revision().number())
                .setEra(entry.revision().era())
                .setWriterStart(entry.version().start())
                .setWrite(entry.version().writeCount())
                .setStage(encode(entry.version().stage()));
        entry.text().ifPresent(frame::setText);
        return frame.build();
    }

    private static KnownEntry decode(PublishedEntryFrame frame) throws ProtocolFault {
        EntryVersion version = new EntryVersion(
                Fields.notNegative(frame.getWriterStart(), "writer's start"),
                Fields.notNegative(frame.getWrite(), "write"),
                decode(frame.getStage()));
        return new KnownEntry(
                Fields.notBlank(frame.getKey(), "key"),
                revision(frame.getEra(), frame.getRevision()),
                version,
                frame.hasText() ? Optional.of(frame.getText()) : Optional.empty());
    }

    private static EntryStage encode(EntryVersion.Stage stage) {
        return switch (stage) {
            case PRESENT -> EntryStage.ENTRY_PRESENT;
            case LEAVING -> EntryStage.ENTRY_LEAVING;
            case REMOVED -> EntryStage.ENTRY_REMOVED;
        };
    }

    private static EntryVersion.Stage decode(EntryStage stage) throws ProtocolFault {
        return switch (stage) {
            case ENTRY_PRESENT -> EntryVersion.Stage.PRESENT;
            case ENTRY_LEAVING -> EntryVersion.Stage.LEAVING;
            case ENTRY_REMOVED -> EntryVersion.Stage.REMOVED;
            case UNRECOGNIZED -> throw new ProtocolFault(ProtocolFault.Kind.OUT_OF_RANGE, "stage");
        };
    }
}
