package org.carawaysill.policy.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.event.Event;

/** A configuration service in virtual time that can be down or stale, and counts reads by second. */
final class VirtualPlatform {

    enum Mode {
        UP,
        DOWN,
        STALE
    }

    private record Published(long version, String text) {}

    private record Watch(ServiceName service, long known, Consumer<Event> answer) {}

    private final DocumentParser parser = new TestDocuments();
    private final Map<ServiceName, Published> published = new HashMap<>();
    private final Map<ServiceName, Published> lastValid = new HashMap<>();
    private Map<ServiceName, Published> visible = published;
    private final List<Watch> watches = new ArrayList<>();
    private final Map<Long, Integer> readsBySecond = new TreeMap<>();
    private long version;
    private Mode mode = Mode.UP;

    void publish(ServiceName service, String text, long step) {
        version += step;
        Published document = new Published(version, text);
        published.put(service, document);
        if (parser.parse(text, version) instanceof DocumentParser.Verdict.Valid) {
            lastValid.put(service, document);
        }
        answerWatches();
    }

    void mode(Mode next) {
        mode = next;
        visible = next == Mode.STALE ? new HashMap<>(published) : published;
        if (next == Mode.DOWN) {
            takeWatches(watch -> true).forEach(watch -> watch.answer.accept(failure(watch.service)));
        }
        answerWatches();
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

    /** Reads a document; the returned action ends a watch that has had no answer when its patience is over. */
    Runnable read(long now, ServiceName service, long known, Consumer<Event> answer) {
        readsBySecond.merge(now / VirtualFleet.SECOND, 1, Integer::sum);
        if (mode == Mode.DOWN) {
            answer.accept(failure(service));
            return () -> {};
        }
        Watch watch = new Watch(service, known, answer);
        watches.add(watch);
        answerWatches();
        return () -> {
            if (watches.remove(watch)) {
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

    private void answerWatches() {
        if (mode == Mode.DOWN) {
            return;
        }
        for (Watch watch : takeWatches(
                watch -> visible.containsKey(watch.service) && visible.get(watch.service).version > watch.known)) {
            Published document = visible.get(watch.service);
            watch.answer.accept(
                    switch (parser.parse(document.text, document.version)) {
                        case DocumentParser.Verdict.Valid valid ->
                            new Event.ConfigurationRead(valid.configuration(), document.text);
                        case DocumentParser.Verdict.Invalid invalid ->
                            new Event.ConfigurationRefused(watch.service, document.version, invalid.message());
                    });
        }
    }

    private List<Watch> takeWatches(Predicate<Watch> which) {
        List<Watch> taken = watches.stream().filter(which).toList();
        watches.removeAll(taken);
        return taken;
    }

    private static Event failure(ServiceName service) {
        return new Event.ConfigurationReadFailed(service, Step.CONFIGURATION, "down");
    }
}
