package org.carawaysill.policy.distribution;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.ConfigurationChange;
import org.carawaysill.policy.message.PeerMessage.ConfigurationDocument;

/**
 * The newest text of a service's document and a few earlier ones, from which changes are made for nodes that have those.
 *
 * <p>Invariant: versions rise; earlier texts together stay below a fixed size. Not thread safe: one thread owns it.
 */
final class DocumentHistory {

    private static final int EARLIER_TEXTS = 4;
    private static final int EARLIER_CHARACTERS = 2_000_000;
    private static final int BYTES_PER_EDIT = 8;

    private final ServiceName service;
    private final Deque<Text> earlier = new ArrayDeque<>();
    private final Map<Long, ConfigurationChange> changes = new HashMap<>();
    private Optional<Text> newest = Optional.empty();

    DocumentHistory(ServiceName service) {
        this.service = service;
    }

    void add(long version, String text) {
        newest.ifPresent(earlier::addFirst);
        newest = Optional.of(new Text(version, text));
        changes.clear();
        while (earlier.size() > EARLIER_TEXTS || charactersOfEarlier() > EARLIER_CHARACTERS) {
            earlier.removeLast();
        }
    }

    private int charactersOfEarlier() {
        return earlier.stream().mapToInt(text -> text.text.length()).sum();
    }

    long version() {
        return newest.map(Text::version).orElse(0L);
    }

    /**
     * Makes what brings a node from a version to the newest one.
     *
     * @param knownVersion the version that the node has, 0 for none
     * @return a change where the earlier text is still held and the change is the smaller one, else the document
     */
    Optional<PeerMessage> update(long knownVersion) {
        if (newest.isEmpty() || newest.get().version <= knownVersion) {
            return Optional.empty();
        }
        Text text = newest.get();
        Optional<ConfigurationChange> change = change(knownVersion).filter(found -> size(found) < text.text.length());
        return Optional.of(
                change.isPresent() ? change.get() : new ConfigurationDocument(service, text.version, text.text));
    }

    /**
     * Makes the change from an earlier version to the newest one.
     *
     * @param baseVersion the earlier version
     * @return the change; empty where the earlier text is no longer held
     */
    Optional<ConfigurationChange> change(long baseVersion) {
        ConfigurationChange made = changes.get(baseVersion);
        if (made != null) {
            return Optional.of(made);
        }
        Optional<ConfigurationChange> change = earlier.stream()
                .filter(text -> text.version == baseVersion)
                .findFirst()
                .map(this::changeFrom);
        change.ifPresent(found -> changes.put(baseVersion, found));
        return change;
    }

    private ConfigurationChange changeFrom(Text base) {
        Text text = newest.orElseThrow();
        return new ConfigurationChange(
                service,
                base.version,
                text.version,
                LineDifference.between(LineDifference.split(base.text), LineDifference.split(text.text)),
                checksum(text.text));
    }

    /**
     * Applies a change that another node sent.
     *
     * @param change the change
     * @return the resulting text; empty unless it applies to the newest text here and its checksum agrees
     */
    Optional<String> apply(ConfigurationChange change) {
        return newest.filter(text -> text.version == change.baseVersion())
                .flatMap(text -> LineDifference.apply(LineDifference.split(text.text), change.edits()))
                .map(LineDifference::join)
                .filter(text -> checksum(text) == change.checksum());
    }

    /**
     * Estimates the bytes of a change on the wire.
     *
     * @param change the change
     * @return its size, with a few bytes for each edit
     */
    static int size(ConfigurationChange change) {
        return change.edits().stream()
                .mapToInt(edit -> BYTES_PER_EDIT
                        + edit.addedLines().stream()
                                .mapToInt(line -> line.length() + 2)
                                .sum())
                .sum();
    }

    private static int checksum(String text) {
        CRC32C checksum = new CRC32C();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return (int) checksum.getValue();
    }

    private record Text(long version, String text) {}
}
