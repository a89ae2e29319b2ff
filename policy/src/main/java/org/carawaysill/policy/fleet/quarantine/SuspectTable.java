package org.carawaysill.policy.fleet.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.policy.message.Suspicion;

/**
 * What one node knows of requests under which copies crashed.
 *
 * <p>Invariants: what others tell is joined by union, so that order, repeats and several paths do no harm; never more than
 * {@link #MOST_ENTRIES}. Not thread safe: owned by the policy.
 */
public final class SuspectTable {

    /** Some twenty crashes of copies with 200 slots, under 1 MB. */
    static final int MOST_ENTRIES = 4096;

    /**
     * How long a request is refused after it was found to be the cause of two crashes. After that it may run once more, alone
     * and at one copy: one that was found guilty by coincidence is not kept out for good.
     */
    static final Duration QUARANTINE = Duration.ofMinutes(10);

    /** From this number of crashes on a request is their cause beyond coincidence, and is refused for good. */
    static final int FINAL_CRASHES = 3;

    /** How long a request that was suspected and did not come again is remembered. */
    static final Duration SUSPECTED_FOR = Duration.ofMinutes(10);

    /** How long it is remembered that a suspicion was cleared: others may still tell the suspicion. */
    static final Duration CLEARED_FOR = Duration.ofMinutes(1);

    /** How long one that was refused is remembered after it may run again. */
    static final Duration REMEMBERED_AFTER_QUARANTINE = Duration.ofHours(1);

    /** For good: longer than a process lasts. */
    static final Duration FINAL_QUARANTINE = Duration.ofDays(30);

    /** Starts of copies that are remembered to have crashed: their entries lapse within seconds. */
    private static final int MOST_STARTS = 512;

    private final Map<Fingerprint, Entry> entries = new HashMap<>();
    private final Set<Long> crashedStarts = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MOST_STARTS;
        }
    });
    private int open;
    private boolean isWorkedOut = true;

    /** What is known of one request. */
    private static final class Entry {

        private final Fingerprint fingerprint;
        private final ServiceName service;
        private final Set<Long> crashes = new HashSet<>();
        private final Set<Long> cleared = new HashSet<>();
        /** Crashes that it is still suspected for, once that was worked out. */
        private int openCrashes;

        private int quarantinedAt;
        private long quarantinedUntilNanos;
        private long changedNanos;

        private Entry(Fingerprint fingerprint, ServiceName service) {
            this.fingerprint = fingerprint;
            this.service = service;
        }

        private Set<Long> uncleared() {
            Set<Long> left = new HashSet<>(crashes);
            left.removeAll(cleared);
            return left;
        }

        private boolean isOpen() {
            return openCrashes > 0;
        }

        /** Tells whether it was under so many crashes that the others under them are free of suspicion. */
        private boolean isCertain() {
            return uncleared().size() >= FINAL_CRASHES;
        }

        private boolean isQuarantined(long now) {
            return isOpen() && quarantinedAt > 0 && now < quarantinedUntilNanos;
        }

        private boolean isForgotten(long now) {
            if (!isOpen()) {
                return now - changedNanos > CLEARED_FOR.toNanos();
            }
            return quarantinedAt > 0
                    ? now - quarantinedUntilNanos > REMEMBERED_AFTER_QUARANTINE.toNanos()
                    : now - changedNanos > SUSPECTED_FOR.toNanos();
        }

        /** What may go first where there is no room: what is cleared, then what is only suspected, the oldest first. */
        private int worth() {
            return isOpen() ? 1 + quarantinedAt : 0;
        }
    }

    /**
     * Tells whether no request needs to be looked up.
     *
     * @return whether none is suspected or refused
     */
    public boolean isEmpty() {
        return size() == 0;
    }

    /**
     * Tells how many requests are suspected or refused.
     *
     * @return their number
     */
    public int size() {
        workOut();
        return open;
    }

    /**
     * Works out what each request is still suspected for: not for crashes that it was cleared of, nor for those that another
     * one is known to be the cause of.
     */
    private void workOut() {
        if (isWorkedOut) {
            return;
        }
        isWorkedOut = true;
        List<Entry> causes = causes();
        Set<Long> explained = crashesOf(causes.stream().filter(Entry::isCertain).toList());
        for (Entry entry : entries.values()) {
            Set<Long> left = entry.uncleared();
            if (!causes.contains(entry)) {
                left.removeAll(explained);
            }
            entry.openCrashes = left.size();
        }
        open = (int) entries.values().stream().filter(Entry::isOpen).count();
    }

    /**
     * Finds the requests that are taken for causes of crashes.
     *
     * <p>One whose crashes all have other causes was there by coincidence, and is none. Those with the fewest crashes are looked
     * at first, in an order that is the same on all nodes.
     */
    private List<Entry> causes() {
        List<Entry> causes = new ArrayList<>(entries.values());
        causes.removeIf(entry -> entry.quarantinedAt == 0 || entry.uncleared().isEmpty());
        causes.sort(Comparator.comparingInt((Entry entry) -> entry.uncleared().size())
                .thenComparing(entry -> entry.fingerprint, Fingerprint.ORDER));
        for (Entry entry : List.copyOf(causes)) {
            List<Entry> others = new ArrayList<>(causes);
            others.remove(entry);
            if (crashesOf(others).containsAll(entry.uncleared())) {
                causes = others;
            }
        }
        return causes;
    }

    private static Set<Long> crashesOf(List<Entry> causes) {
        Set<Long> crashes = new HashSet<>();
        causes.forEach(entry -> crashes.addAll(entry.uncleared()));
        return crashes;
    }

    /**
     * Tells how many requests are refused.
     *
     * @param now the monotonic time
     * @return their number
     */
    public int quarantined(long now) {
        workOut();
        return (int) entries.values().stream()
                .filter(entry -> entry.isQuarantined(now))
                .count();
    }

    /**
     * Tells whether a start of a copy is known to have ended by a crash.
     *
     * @param start the start
     * @return whether it has
     */
    public boolean hasCrashed(long start) {
        return crashedStarts.contains(start);
    }

    /**
     * Forgets what has not mattered for long.
     *
     * @param now the monotonic time
     * @return how many requests were forgotten that were suspected
     */
    public int forget(long now) {
        int before = size();
        entries.values().removeIf(entry -> entry.isForgotten(now));
        isWorkedOut = false;
        return before - size();
    }

    /**
     * Tells what is known of a request.
     *
     * @param now the monotonic time
     * @param fingerprint the request
     * @return its standing
     */
    public Standing standing(long now, Fingerprint fingerprint) {
        workOut();
        Entry entry = entries.get(fingerprint);
        if (entry == null || !entry.isOpen()) {
            return new Standing.Clear();
        }
        if (entry.isQuarantined(now)) {
            return new Standing.Quarantined(fingerprint, entry.openCrashes, entry.quarantinedUntilNanos - now);
        }
        return new Standing.Suspected(fingerprint, entry.openCrashes);
    }

    /**
     * Notes that a copy crashed while it ran a request.
     *
     * @param now the monotonic time
     * @param service the service of the copy
     * @param start the copy's start
     * @param fingerprint the request
     */
    public void suspect(long now, ServiceName service, long start, Fingerprint fingerprint) {
        Entry entry = entry(now, service, fingerprint);
        crashed(entry, start);
        changed(now, entry);
    }

    /**
     * Notes that a request is the cause of the crashes under it.
     *
     * @param now the monotonic time
     * @param fingerprint the request, which is suspected
     */
    public void quarantine(long now, Fingerprint fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry != null) {
            entry.quarantinedAt = entry.uncleared().size();
            Duration length = entry.quarantinedAt >= FINAL_CRASHES ? FINAL_QUARANTINE : QUARANTINE;
            entry.quarantinedUntilNanos = now + length.toNanos();
            changed(now, entry);
        }
    }

    /**
     * Notes that a copy answered a request, which therefore is not the cause of the crashes before.
     *
     * @param now the monotonic time
     * @param fingerprint the request
     */
    public void clear(long now, Fingerprint fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry != null) {
            entry.cleared.addAll(entry.crashes);
            changed(now, entry);
        }
    }

    /**
     * Joins what another node knows.
     *
     * @param now the monotonic time
     * @param service the service of the copies that crashed
     * @param told what it knows
     * @return whether anything of it was new
     */
    public boolean join(long now, ServiceName service, Suspicion told) {
        Entry entry = entry(now, service, told.fingerprint());
        boolean news = entry.crashes.addAll(told.crashes());
        crashedStarts.addAll(told.crashes());
        news |= entry.cleared.addAll(told.cleared());
        if (told.quarantinedAt() > entry.quarantinedAt) {
            entry.quarantinedAt = told.quarantinedAt();
            entry.quarantinedUntilNanos = now + told.remainingNanos();
            news = true;
        }
        if (news) {
            changed(now, entry);
        }
        return news;
    }

    /**
     * Gives what others should know of a request.
     *
     * @param now the monotonic time
     * @param fingerprint the request
     * @return what is known, empty where nothing is
     */
    public Optional<Suspicion> suspicion(long now, Fingerprint fingerprint) {
        return Optional.ofNullable(entries.get(fingerprint)).map(entry -> suspicion(now, fingerprint, entry));
    }

    private static Suspicion suspicion(long now, Fingerprint fingerprint, Entry entry) {
        long remaining = entry.quarantinedAt == 0 ? 0 : Math.max(0, entry.quarantinedUntilNanos - now);
        return new Suspicion(fingerprint, entry.crashes, entry.cleared, entry.quarantinedAt, remaining);
    }

    /**
     * Gives all that is known of requests to one service.
     *
     * @param now the monotonic time
     * @param service the service
     * @return what is known
     */
    public List<Suspicion> suspicions(long now, ServiceName service) {
        List<Suspicion> found = new ArrayList<>();
        entries.forEach((fingerprint, entry) -> {
            if (entry.service.equals(service)) {
                found.add(suspicion(now, fingerprint, entry));
            }
        });
        return found;
    }

    private void crashed(Entry entry, long start) {
        entry.crashes.add(start);
        crashedStarts.add(start);
    }

    private Entry entry(long now, ServiceName service, Fingerprint fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry == null) {
            if (entries.size() >= MOST_ENTRIES) {
                forgetLeastWorth();
            }
            entry = new Entry(fingerprint, service);
            entry.changedNanos = now;
            entries.put(fingerprint, entry);
        }
        return entry;
    }

    private void forgetLeastWorth() {
        entries.entrySet().stream()
                .min(Comparator.comparingInt((Map.Entry<Fingerprint, Entry> one) ->
                                one.getValue().worth())
                        .thenComparingLong(one -> one.getValue().changedNanos))
                .map(Map.Entry::getKey)
                .ifPresent(entries::remove);
    }

    private void changed(long now, Entry entry) {
        entry.changedNanos = now;
        isWorkedOut = false;
    }
}
