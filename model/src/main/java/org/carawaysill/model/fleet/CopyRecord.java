package org.carawaysill.model.fleet;

import java.time.Duration;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.ServiceName;

/**
 * One upstream copy as published.
 *
 * <p>Invariant: at least one slot. Of two records with the same name, the one with the later start is a restart of the
 * copy, which has no state of the earlier process. Immutable and thread safe.
 *
 * @param copy the name under which it is published
 * @param startedAtMillis its start, in milliseconds of wall-clock time since 1970; 0 if not stated
 * @param sequence how often it has written its own record since then; 0 if not stated
 * @param service the service that it belongs to
 * @param address the address at which it listens; the IP address of its VM is also that of the node beside it
 * @param zone the availability zone of its VM
 * @param slots how many requests it runs at a time
 * @param draining whether it has announced that it will stop
 * @param warmUpLeft the remaining time for which it is slow after its start, as of the publication
 */
public record CopyRecord(
        CopyName copy,
        long startedAtMillis,
        long sequence,
        ServiceName service,
        NetworkAddress address,
        AvailabilityZone zone,
        int slots,
        boolean draining,
        Duration warmUpLeft) {

    public CopyRecord {
        if (slots < 1) {
            throw new IllegalArgumentException("a copy must have at least one slot");
        }
    }

    /**
     * Returns the position of this record in the order in which the copy wrote its records.
     *
     * @return the version
     */
    public EntryVersion version() {
        EntryVersion.Stage stage = draining ? EntryVersion.Stage.LEAVING : EntryVersion.Stage.PRESENT;
        return new EntryVersion(startedAtMillis, sequence, stage);
    }

    /**
     * Returns whether two records describe the same process.
     *
     * @param other the other record
     * @return whether name and start are the same
     */
    public boolean isSameStart(CopyRecord other) {
        return copy.equals(other.copy) && startedAtMillis == other.startedAtMillis;
    }
}
