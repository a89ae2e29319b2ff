package org.carawaysill.policy.fleet.copy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * The published copies, by service.
 *
 * <p>Invariants: a copy that is draining or gone is not among those that may get work; of two copies with one address only
 * the newer may, since an address is used again after its copy has ended; a copy of a service that the configuration doesn't
 * name is as if it weren't published. Not thread safe: owned by the policy.
 */
public final class CopyTable {

    private final Map<String, Copy> byKey = new HashMap<>();
    private Optional<Set<ServiceName>> named = Optional.empty();
    private final Map<ServiceName, List<Copy>> usable = new HashMap<>();

    /**
     * Receives which services there are. Guards against an entry of another writer that has the address of a living copy:
     * it would take the copy's place, and its slots and state would hold for it.
     *
     * @param services the services that the configuration in force names
     */
    public void named(Set<ServiceName> services) {
        named = Optional.of(services);
        rebuild();
    }

    private boolean isNamed(Copy copy) {
        return named.isEmpty() || named.get().contains(copy.record().service());
    }

    private Stream<Copy> namedCopies() {
        return byKey.values().stream().filter(this::isNamed);
    }

    /**
     * Receives what is published of a copy. Of a start before the one that is known nothing is taken in: it was written
     * late. All that was known of an earlier start is void.
     *
     * @param now the monotonic time
     * @param key the entry's key
     * @param record what is published
     * @param revision the entry's revision
     * @return the copy, if more than its heartbeat changed
     */
    public Optional<Copy> put(long now, String key, CopyRecord record, Revision revision) {
        Copy copy = byKey.get(key);
        if (copy != null && record.startedAtMillis() < copy.record().startedAtMillis()) {
            return Optional.empty();
        }
        if (copy == null || !copy.record().isSameStart(record)) {
            copy = new Copy(record, now, revision);
            byKey.put(key, copy);
            rebuild();
            return Optional.of(copy);
        }
        boolean back = copy.keep();
        boolean changed = copy.update(record, now);
        if (changed || back) {
            rebuild();
            return Optional.of(copy);
        }
        return Optional.empty();
    }

    /**
     * Notes that an entry was removed.
     *
     * @param now the monotonic time
     * @param key the entry's key
     * @param goneNanos from when on the copy counts as gone, unless its entry is back before
     * @return the copy, if it is gone at once
     */
    public Optional<Copy> remove(long now, String key, long goneNanos) {
        Copy copy = byKey.get(key);
        if (copy == null) {
            return Optional.empty();
        }
        copy.missing(goneNanos);
        if (goneNanos > now) {
            return Optional.empty();
        }
        return Optional.of(drop(key, copy));
    }

    /**
     * Drops the copies whose entries did not come back in time.
     *
     * @param now the monotonic time
     * @return the copies that are gone, by the keys of their entries
     */
    public Map<String, Copy> dropMissing(long now) {
        Map<String, Copy> gone = new HashMap<>();
        byKey.forEach((key, copy) -> {
            if (copy.isMissingAt(now)) {
                gone.put(key, copy);
            }
        });
        gone.forEach(this::drop);
        return gone;
    }

    private Copy drop(String key, Copy copy) {
        byKey.remove(key);
        copy.markGone();
        rebuild();
        return copy;
    }

    /**
     * Returns whether an entry's copy is missing, but not yet gone.
     *
     * @param key the entry's key
     * @return whether its entry may still come back
     */
    public boolean isMissing(String key) {
        Copy copy = byKey.get(key);
        return copy != null && copy.isMissing();
    }

    private void rebuild() {
        usable.clear();
        Map<NetworkAddress, Copy> newest = new HashMap<>();
        namedCopies()
                .forEach(copy -> newest.merge(
                        copy.record().address(), copy, (one, other) -> one.isNewerThan(other) ? one : other));
        for (Copy copy : newest.values()) {
            if (!copy.record().draining()) {
                usable.computeIfAbsent(copy.record().service(), _ -> new ArrayList<>())
                        .add(copy);
            }
        }
    }

    /**
     * Returns the copies of a service that may get work.
     *
     * @param service the service
     * @return the copies
     */
    public List<Copy> usable(ServiceName service) {
        return usable.getOrDefault(service, List.of());
    }

    /**
     * Returns the copies of all services that may get work.
     *
     * @return the copies
     */
    public List<Copy> usable() {
        return usable.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Finds the newest copy at an address.
     *
     * @param address where it listens
     * @return the copy
     */
    public Optional<Copy> at(NetworkAddress address) {
        return namedCopies()
                .filter(copy -> copy.record().address().equals(address))
                .reduce((one, other) -> one.isNewerThan(other) ? one : other);
    }

    /**
     * Returns all published copies.
     *
     * @return the copies
     */
    public List<Copy> all() {
        return namedCopies().toList();
    }

    /**
     * Returns the published copies beside a node.
     *
     * @param node the node
     * @return the copies: more than one while an address is used again
     */
    public List<Copy> beside(NodeName node) {
        return namedCopies().filter(copy -> copy.node().equals(node)).toList();
    }

    /**
     * Returns all published copies, those of services that the configuration doesn't name included. They get no work, but
     * the nodes beside them take requests like any other.
     *
     * @return a view of the copies
     */
    public Collection<Copy> withUnnamed() {
        return Collections.unmodifiableCollection(byKey.values());
    }

    /**
     * Returns the IP numbers of the VMs of all copies, those of services that the configuration doesn't name included.
     *
     * @return the IP numbers
     */
    public Set<String> hosts() {
        Set<String> hosts = new HashSet<>();
        byKey.values().forEach(copy -> hosts.add(copy.record().address().host()));
        return hosts;
    }
}
