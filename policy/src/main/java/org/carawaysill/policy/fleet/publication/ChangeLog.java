package org.carawaysill.policy.fleet.publication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.carawaysill.model.fleet.Revision;

/**
 * Records which entries changed this node's state, in order of the changes, so that other nodes are sent only what they
 * lack.
 *
 * <p>Most entries are rewritten at each heartbeat of their copies without other changes; sent in full, the entries of
 * 95 copies and 1,400 routes are 230 kB for each node and change. Invariant: a node that has received everything up to
 * a position, and then all entries that changed since, has no older state than this node. Not thread safe: owned by the
 * policy.
 */
public final class ChangeLog {

    private final Map<String, Change> changes = new HashMap<>();
    private long position;
    private long discardedPosition;
    private Revision discardedRevision = Revision.NONE;

    private record Change(long position, Revision revision) {}

    /**
     * Records that an entry changed this node's state.
     *
     * @param key the entry's key
     * @param at the platform's revision of the change
     */
    public void changed(String key, Revision at) {
        changes.put(key, new Change(++position, at));
    }

    /**
     * Returns whether a change of an entry is recorded.
     *
     * @param key the entry's key
     * @return whether it is
     */
    public boolean contains(String key) {
        return changes.containsKey(key);
    }

    /**
     * Discards the record of an entry whose removal is no longer remembered.
     *
     * @param key the entry's key
     */
    public void discard(String key) {
        Change change = changes.remove(key);
        if (change != null) {
            discardedPosition = Math.max(discardedPosition, change.position());
            discardedRevision = discardedRevision.newest(change.revision());
        }
    }

    /**
     * Returns the number of changes since this process started.
     *
     * @return the position of the last change, 0 if there was none
     */
    public long position() {
        return position;
    }

    /**
     * Returns whether all changes since a position are remembered; otherwise other nodes must receive the full list of
     * entries.
     *
     * @param since the position
     * @return whether they are
     */
    public boolean remembers(long since) {
        return since >= discardedPosition;
    }

    /**
     * Returns whether all changes since a revision are remembered; otherwise other nodes must receive the full list of
     * entries.
     *
     * @param since the revision
     * @return whether they are
     */
    public boolean remembers(Revision since) {
        return since.compareTo(discardedRevision) >= 0 || since.equals(Revision.NONE);
    }

    /**
     * Returns the entries whose last change is later than a position.
     *
     * @param since the position
     * @return their keys
     */
    public List<String> since(long since) {
        return keys(change -> change.position() > since);
    }

    /**
     * Returns the entries whose last change was at a later revision, or in a later era.
     *
     * @param since the revision
     * @return their keys
     */
    public List<String> since(Revision since) {
        return keys(change -> change.revision().compareTo(since) > 0);
    }

    private List<String> keys(Predicate<Change> wanted) {
        return changes.entrySet().stream()
                .filter(change -> wanted.test(change.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }
}
