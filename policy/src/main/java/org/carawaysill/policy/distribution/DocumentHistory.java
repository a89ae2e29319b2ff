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
 * Stores the newest text of a service's document and a few earlier ones, and computes changes for nodes that have an
 * earlier one.
 *
 * <p>Invariant: versions rise; the total size of earlier texts is bounded. Not thread safe: one thread owns it.
 */
final class DocumentHistory {

    private static final int MAX_EARLIER_TEXTS = 4;
    private static final int MAX_EARLIER_CHARACTERS = 2_000_000;
    private static final int OVERHEAD_BYTES_PER_EDIT = 8;

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
        while (earlier.size() > MAX_EARLIER_TEXTS || charactersOfEarlier() > MAX_EARLIER_CHARACTERS) {
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
     * Returns the message that updates a node from a given version to the newest one.
     *
     * @param knownVersion the version that the node has, 0 for none
     * @return a change if the earlier text is still stored and the change is smaller than the document; otherwise the
     *     document; empty if the node's version is not older
     */
    Optional<PeerMessage> update(long knownVersion) {
        if (newest.isEmpty() || newest.get().version <= knownVersion) {
            return Optional.empty();
        }
        Text text = newest.get();
        Optional<ConfigurationChange> change =
                change(knownVersion).filter(found -> estimatedSize(found) < text.text.length());
        return Optional.of(
                change.isPresent() ? change.get() : new ConfigurationDocument(service, text.version, text.text));
    }

    /**
     * Returns the change from an earlier version to the newest one.
     *
     * @param baseVersion the earlier version
     * @return the change; empty if the earlier text is no longer stored
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
     * @return the resulting text; empty unless the change applies to the newest text here and its checksum matches
     */
    Optional<String> apply(ConfigurationChange change) {
        return newest.filter(text -> text.version == change.baseVersion())
                .flatMap(text -> LineDifference.apply(LineDifference.split(text.text), change.edits()))
                .map(LineDifference::join)
                .filter(text -> checksum(text) == change.checksum());
    }

    /**
     * Estimates the encoded size of a change.
     *
     * @param change the change
     * @return the size in bytes, including a fixed overhead per edit
     */
    static int estimatedSize(ConfigurationChange change) {
        return change.edits().stream()
                .mapToInt(edit -> OVERHEAD_BYTES_PER_EDIT
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
