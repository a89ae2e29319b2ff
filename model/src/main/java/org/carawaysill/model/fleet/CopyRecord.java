package org.carawaysill.model.fleet;

import java.time.Duration;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.ServiceName;

/**
 * One upstream copy as it is published.
 *
 * <p>Invariant: at least one slot; of two records with one name, the one that started later is another start of the copy,
 * which knows nothing of the earlier one. Immutable and thread safe.
 *
 * @param copy the name under which it is published
 * @param startedAtMillis when it started, in milliseconds of wall-clock time since 1970; 0 where it doesn't say
 * @param sequence how often it has written of itself since then; 0 where it doesn't say
 * @param service the service that it belongs to
 * @param address where it listens; its VM's IP number is also that of the node beside it
 * @param zone where its VM stands
 * @param slots how many requests it works on at a time
 * @param draining whether it announced that it leaves
 * @param warmUpLeft how much longer it stays slow after its start, when this was published
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
            throw new IllegalArgumentException("a copy has at least one slot");
        }
    }

    /**
     * Returns the place of this record in the order in which the copy wrote of itself.
     *
     * @return the version
     */
    public EntryVersion version() {
        EntryVersion.Stage stage = draining ? EntryVersion.Stage.LEAVING : EntryVersion.Stage.PRESENT;
        return new EntryVersion(startedAtMillis, sequence, stage);
    }

    /**
     * Returns whether two records speak of the same process.
     *
     * @param other the other record
     * @return whether name and start are the same
     */
    public boolean isSameStart(CopyRecord other) {
        return copy.equals(other.copy) && startedAtMillis == other.startedAtMillis;
    }
}
