package org.carawaysill.policy.message;

import org.carawaysill.model.fleet.Revision;

/** The starting point of a request for another node's changes. Immutable and thread safe. */
public sealed interface ChangesSince {

    /**
     * The changes after those that the other node sent last.
     *
     * @param position the other node's position up to which all its changes are known; 0 to request all changes
     */
    record AtPosition(long position) implements ChangesSince {}

    /**
     * The changes at a later revision of the platform, or in a later era.
     *
     * @param revision the revision up to which all changes are known
     */
    record AtRevision(Revision revision) implements ChangesSince {}
}
