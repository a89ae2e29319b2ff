package org.carawaysill.policy.fleet.copy;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.CopyRecord;

/**
 * The processes of copies that have said that they leave. They get no more work, whatever is published about them.
 *
 * <p>Invariant: a process is remembered until {@link #MOST} others have left after it. Not thread safe: owned by the
 * policy.
 */
final class LeavingProcesses {

    /** Bounds the memory; a copy leaves within seconds, in which far fewer others do. */
    private static final int MOST = 1000;

    private final Set<Process> processes = new LinkedHashSet<>();

    /** A process, which is not the next one of the same name. Immutable and thread safe. */
    private record Process(CopyName copy, long startedAtMillis) {

        static Process of(CopyRecord record) {
            return new Process(record.copy(), record.startedAtMillis());
        }
    }

    /** Adds the process of a published record; returns whether it was not known. */
    boolean add(CopyRecord record) {
        boolean added = processes.add(Process.of(record));
        if (processes.size() > MOST) {
            Iterator<Process> oldestFirst = processes.iterator();
            oldestFirst.next();
            oldestFirst.remove();
        }
        return added;
    }

    boolean contains(CopyRecord record) {
        return processes.contains(Process.of(record));
    }
}
