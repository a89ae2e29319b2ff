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
 * What this node tells others of what is published: the entries that it decides by, and those that it knows to be removed.
 *
 * <p>Invariant: an entry that is decided by is told in that form, also while the platform shows an older one or none. Not thread
 * safe: owned by the policy.
 */
final class PublicationUpdates {

    /** The answer does not say up to which change the receiver knows all. */
    private static final long NO_POSITION = 0;

    private final PublishedEntries entries;
    private final Map<String, KnownEntry> decidedBy = new HashMap<>();
    private final ChangeLog changes = new ChangeLog();
    private Revision revision = Revision.NONE;

    PublicationUpdates(PublishedEntries entries) {
        this.entries = entries;
    }

    /** Notes which form of an entry this node decides by; it need not change anything. */
    void decideBy(KnownEntry entry) {
        decidedBy.put(entry.key(), entry);
    }

    /** Returns whether a form of an entry is newer than the one that this node decides by. */
    boolean isReplacedBy(KnownEntry entry) {
        KnownEntry current = decidedBy.get(entry.key());
        return current != null && entry.supersedes(current);
    }

    /** Notes that this node decides by something else now. */
    void changed(String key, Revision at) {
        changes.changed(key, at);
        caughtUp(at);
    }

    /** Notes that an entry is no longer decided by. */
    void dropped(String key, Revision at) {
        decidedBy.remove(key);
        changed(key, at);
    }

    /** Notes that all changes up to a revision are known. */
    void caughtUp(Revision upTo) {
        revision = revision.newest(upTo);
    }

    void forget(String key) {
        changes.forget(key);
    }

    /** Returns up to which revision all changes are known that matter. */
    Revision revision() {
        return revision;
    }

    /** Returns how many changes of what this node decides by there were. */
    long position() {
        return changes.position();
    }

    /**
     * Returns what another node lacks. An entry that may be back soon is told as it was last: the other node may read the
     * platform without a gap and know better.
     */
    PeerMessage.Entries lackingAt(EntriesWanted wanted) {
        return switch (wanted.since()) {
            case ChangesSince.AtRevision(Revision since) -> {
                boolean complete = !changes.remembers(since);
                yield told(NO_POSITION, complete, changes.since(complete ? Revision.NONE : since));
            }
            case ChangesSince.AtPosition(long since) -> {
                boolean complete = !changes.remembers(since);
                yield told(changes.position(), complete, changes.since(complete ? 0 : since));
            }
        };
    }

    private PeerMessage.Entries told(long position, boolean complete, List<String> keys) {
        List<KnownEntry> lacking = keys.stream()
                .map(key -> Optional.ofNullable(decidedBy.get(key)).or(() -> entries.find(key)))
                .flatMap(Optional::stream)
                .toList();
        return new PeerMessage.Entries(position, revision, complete, lacking);
    }
}
