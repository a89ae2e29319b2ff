package org.carawaysill.policy.distribution;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.event.Event;

/**
 * A configuration service in virtual time that counts reads per second. It can be down, or serve from a stale replica
 * that has only the first published values.
 */
final class VirtualPlatform {

    enum Mode {
        UP,
        DOWN,
        STALE
    }

    private record Published(long version, String text) {}

    /** An open watch. Not a record, since two watches with equal content are distinct. */
    private static final class Watch {

        private final ServiceName service;
        private final long known;
        private final Consumer<Event> answer;

        private Watch(ServiceName service, long known, Consumer<Event> answer) {
            this.service = service;
            this.known = known;
            this.answer = answer;
        }
    }

    private final DocumentParser parser = new TestDocuments();
    private final Map<ServiceName, Published> published = new HashMap<>();
    private final Map<ServiceName, Published> lastValid = new HashMap<>();
    private final Map<ServiceName, Published> first = new HashMap<>();
    private Map<ServiceName, Published> visible = published;
    private final Map<ServiceName, Set<Watch>> watches = new HashMap<>();
    private final Map<Long, Integer> readsBySecond = new TreeMap<>();
    private long version;
    private Mode mode = Mode.UP;

    void publish(ServiceName service, String text, long step) {
        version += step;
        Published document = new Published(version, text);
        published.put(service, document);
        first.putIfAbsent(service, document);
        if (parser.parse(text, version) instanceof DocumentParser.Verdict.Valid) {
            lastValid.put(service, document);
        }
        answerWatches(service);
    }

    void mode(Mode next) {
        mode = next;
        visible = next == Mode.STALE ? first : published;
        for (ServiceName service : List.copyOf(watches.keySet())) {
            if (next == Mode.DOWN) {
                watches.remove(service).forEach(watch -> watch.answer.accept(failure(service)));
            } else {
                answerWatches(service);
            }
        }
    }

    boolean newestIsValid(ServiceName service) {
        return lastValid.get(service).equals(published.get(service));
    }

    String text(ServiceName service) {
        return lastValid.get(service).text;
    }

    long lastValid(ServiceName service) {
        return lastValid.get(service).version;
    }

    /** Reads a document. The returned action ends the watch if it has no answer when its maximum wait is over. */
    Runnable read(long now, ServiceName service, long known, Consumer<Event> answer) {
        readsBySecond.merge(now / VirtualFleet.SECOND, 1, Integer::sum);
        if (mode == Mode.DOWN) {
            answer.accept(failure(service));
            return () -> {};
        }
        Watch watch = new Watch(service, known, answer);
        if (hasNews(watch)) {
            answer(watch);
            return () -> {};
        }
        watches.computeIfAbsent(service, _ -> new LinkedHashSet<>()).add(watch);
        return () -> {
            if (watches.getOrDefault(service, new LinkedHashSet<>()).remove(watch)) {
                answer.accept(new Event.ConfigurationUnchanged(service));
            }
        };
    }

    int mostReadsInASecond() {
        return readsBySecond.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    int reads(long fromSecond, long toSecond) {
        return readsBySecond.entrySet().stream()
                .filter(entry -> entry.getKey() >= fromSecond && entry.getKey() < toSecond)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private boolean hasNews(Watch watch) {
        return visible.containsKey(watch.service) && visible.get(watch.service).version > watch.known;
    }

    private void answerWatches(ServiceName service) {
        Set<Watch> open = watches.getOrDefault(service, new LinkedHashSet<>());
        List<Watch> answered = open.stream()
                .filter(watch -> mode != Mode.DOWN && hasNews(watch))
                .toList();
        answered.forEach(open::remove);
        answered.forEach(this::answer);
    }

    private void answer(Watch watch) {
        Published document = visible.get(watch.service);
        watch.answer.accept(
                switch (parser.parse(document.text, document.version)) {
                    case DocumentParser.Verdict.Valid valid ->
                        new Event.ConfigurationRead(valid.configuration(), document.text);
                    case DocumentParser.Verdict.Invalid invalid ->
                        new Event.ConfigurationRefused(watch.service, document.version, invalid.message());
                });
    }

    private static Event failure(ServiceName service) {
        return new Event.ConfigurationReadFailed(service, Step.CONFIGURATION, "down");
    }
}
