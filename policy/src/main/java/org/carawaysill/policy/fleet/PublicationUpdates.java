package org.carawaysill.policy.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.fleet.KnownEntry;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.policy.fleet.publication.ChangeLog;
import org.carawaysill.policy.fleet.publication.PublishedEntries;
import org.carawaysill.policy.message.ChangesSince;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.EntriesWanted;

/**
 * The published entries that this node sends to others: the entries that it uses, and those that it knows to be
 * removed.
 *
 * <p>Invariant: an entry in use is sent in the form in use, even while the platform shows an older form or none. Not
 * thread safe: owned by the policy.
 */
final class PublicationUpdates {

    /** The answer does not state up to which change the receiver knows everything. */
    private static final long NO_POSITION = 0;

    private final PublishedEntries entries;
    private final Map<String, KnownEntry> inUse = new HashMap<>();
    private final ChangeLog changes = new ChangeLog();
    private Revision revision = Revision.NONE;

    PublicationUpdates(PublishedEntries entries) {
        this.entries = entries;
    }

    /** Notes which form of an entry this node uses, even if that form changes nothing. */
    void use(KnownEntry entry) {
        inUse.put(entry.key(), entry);
    }

    /** Returns whether a form of an entry is newer than the one that this node uses. */
    boolean isReplacedBy(KnownEntry entry) {
        KnownEntry current = inUse.get(entry.key());
        return current != null && entry.supersedes(current);
    }

    /** Notes that an entry that this node uses has changed. */
    void changed(String key, Revision at) {
        changes.changed(key, at);
        caughtUp(at);
    }

    /** Notes that an entry is no longer used. */
    void dropped(String key, Revision at) {
        inUse.remove(key);
        changed(key, at);
    }

    /** Notes that all changes up to a revision are known. */
    void caughtUp(Revision upTo) {
        revision = revision.newest(upTo);
    }

    /** Returns whether other nodes are sent the last change of an entry. */
    boolean isKnown(String key) {
        return changes.contains(key);
    }

    void forget(String key) {
        changes.discard(key);
    }

    /** Returns the revision up to which all relevant changes are known. */
    Revision revision() {
        return revision;
    }

    /** Returns the number of changes to the entries that this node uses. */
    long position() {
        return changes.position();
    }

    /**
     * Returns the entries that another node does not have. An entry that is missing but may come back is sent in its
     * last form: the other node may have read the platform without a gap and have newer information.
     */
    PeerMessage.Entries entriesMissingAt(EntriesWanted wanted) {
        return switch (wanted.since()) {
            case ChangesSince.AtRevision(Revision since) -> {
                boolean complete = !changes.remembers(since);
                yield message(NO_POSITION, complete, changes.since(complete ? Revision.NONE : since));
            }
            case ChangesSince.AtPosition(long since) -> {
                boolean complete = !changes.remembers(since);
                yield message(changes.position(), complete, changes.since(complete ? 0 : since));
            }
        };
    }

    private PeerMessage.Entries message(long position, boolean complete, List<String> keys) {
        List<KnownEntry> missing = keys.stream()
                .map(key -> Optional.ofNullable(inUse.get(key)).or(() -> entries.find(key)))
                .flatMap(Optional::stream)
                .toList();
        return new PeerMessage.Entries(position, revision, complete, missing);
    }
}
