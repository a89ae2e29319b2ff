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
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * The published copies, by service.
 *
 * <p>Invariants: a copy that is draining or gone, or whose process has said that it leaves, is not usable; of two copies with one address only the newer is
 * usable, since an address is reused after its copy has ended; a copy of a service that the configuration doesn't name
 * is treated as if it weren't published. Not thread safe: owned by the policy.
 */
public final class CopyTable {

    private final Map<String, Copy> byKey = new HashMap<>();
    private Optional<Set<ServiceName>> configuredServices = Optional.empty();
    private final Map<ServiceName, List<Copy>> usable = new HashMap<>();
    private final LeavingProcesses leaving = new LeavingProcesses();

    /**
     * Sets the services that exist. Guards against an entry of another writer that has the address of a running copy:
     * without this filter it would replace that copy, and its slots and state would be applied to it.
     *
     * @param services the services that the configuration in force names
     */
    public void setConfiguredServices(Set<ServiceName> services) {
        configuredServices = Optional.of(services);
        rebuild();
    }

    private boolean isConfigured(Copy copy) {
        return configuredServices.isEmpty()
                || configuredServices.get().contains(copy.record().service());
    }

    private Stream<Copy> configuredCopies() {
        return byKey.values().stream().filter(this::isConfigured);
    }

    /**
     * Takes in the published record of a copy. Ignores a record of a start before the known one, because it was written
     * late. A record of a later start replaces all that was known of the copy.
     *
     * @param now the monotonic time
     * @param key the entry's key
     * @param record the published record
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
        boolean reappeared = copy.markPresent();
        boolean changed = copy.update(record, now);
        if (changed || reappeared) {
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
     * @param goneNanos when the copy counts as gone, unless its entry reappears before
     * @return the copy, if it is gone at once
     */
    public Optional<Copy> remove(long now, String key, long goneNanos) {
        Copy copy = byKey.get(key);
        if (copy == null) {
            return Optional.empty();
        }
        copy.markMissing(goneNanos);
        if (goneNanos > now) {
            return Optional.empty();
        }
        return Optional.of(drop(key, copy));
    }

    /**
     * Drops the copies whose entries did not reappear in time.
     *
     * @param now the monotonic time
     * @return the dropped copies, by the keys of their entries
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
     * Returns whether the entry of a known copy is missing while the copy doesn't count as gone yet.
     *
     * @param key the entry's key
     * @return whether the entry may still reappear
     */
    public boolean isMissing(String key) {
        Copy copy = byKey.get(key);
        return copy != null && copy.isMissing();
    }

    /**
     * Notes that a copy's own answer says that it leaves.
     *
     * @param copy the copy
     * @return whether that was not known
     */
    public boolean leaves(Copy copy) {
        boolean isNews = leaving.add(copy.record());
        if (isNews) {
            rebuild();
        }
        return isNews;
    }

    private void rebuild() {
        usable.clear();
        Map<NetworkAddress, Copy> newest = new HashMap<>();
        configuredCopies()
                .forEach(copy -> newest.merge(
                        copy.record().address(), copy, (one, other) -> one.isNewerThan(other) ? one : other));
        for (Copy copy : newest.values()) {
            if (!copy.record().draining() && !leaving.contains(copy.record())) {
                usable.computeIfAbsent(copy.record().service(), _ -> new ArrayList<>())
                        .add(copy);
            }
        }
    }

    /**
     * Returns the copies of a service that may receive requests.
     *
     * @param service the service
     * @return the copies
     */
    public List<Copy> usable(ServiceName service) {
        return usable.getOrDefault(service, List.of());
    }

    /**
     * Returns the copies of all services that may receive requests.
     *
     * @return the copies
     */
    public List<Copy> usable() {
        return usable.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Finds the newest copy at an address.
     *
     * @param address the address at which it listens
     * @return the copy
     */
    public Optional<Copy> at(NetworkAddress address) {
        return configuredCopies()
                .filter(copy -> copy.record().address().equals(address))
                .reduce((one, other) -> one.isNewerThan(other) ? one : other);
    }

    /**
     * Returns whether a copy is published, be it of a service that the configuration doesn't name.
     *
     * @param name the copy
     * @return whether its entry is there, or may still reappear
     */
    public boolean isPublished(CopyName name) {
        return byKey.values().stream().anyMatch(copy -> copy.record().copy().equals(name));
    }

    /**
     * Returns whether a copy may still receive requests.
     *
     * @param known a copy that was published
     * @return whether this start of it may
     */
    public boolean isUsable(Copy known) {
        return usable(known.record().service()).stream()
                .anyMatch(copy -> copy.record().isSameStart(known.record()));
    }

    /**
     * Returns all published copies of services that the configuration names.
     *
     * @return the copies
     */
    public List<Copy> all() {
        return configuredCopies().toList();
    }

    /**
     * Returns the published copies beside a node.
     *
     * @param node the node
     * @return the copies: more than one while an address is being reused
     */
    public List<Copy> beside(NodeName node) {
        return configuredCopies().filter(copy -> copy.node().equals(node)).toList();
    }

    /**
     * Returns all published copies, including those of services that the configuration doesn't name. Such copies
     * receive no requests, but the nodes beside them accept requests as any other node does.
     *
     * @return a view of the copies
     */
    public Collection<Copy> allIncludingUnconfigured() {
        return Collections.unmodifiableCollection(byKey.values());
    }

    /**
     * Returns the IP addresses of the VMs of all copies, including those of services that the configuration doesn't
     * name.
     *
     * @return the IP addresses
     */
    public Set<String> hosts() {
        Set<String> hosts = new HashSet<>();
        byKey.values().forEach(copy -> hosts.add(copy.record().address().host()));
        return hosts;
    }
}
