package org.carawaysill.policy.message;

import org.carawaysill.model.fleet.Revision;

/** From where on a node asks another one for what changed there. Immutable and thread safe. */
public sealed interface ChangesSince {

    /**
     * Those that came after the other node told its changes last.
     *
     * @param position up to which of the other node's changes all are known; 0 for all that there are
     */
    record AtPosition(long position) implements ChangesSince {}

    /**
     * Those at a later revision of the platform, or in a later era.
     *
     * @param revision up to which all are known
     */
    record AtRevision(Revision revision) implements ChangesSince {}
}
