package org.carawaysill.standin.upstream;

import com.fasterxml.jackson.annotation.JsonCreator;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A path pattern in which a segment {@code *} matches any one segment.
 *
 * <p>Immutable and thread safe.
 */
final class PathPattern {

    /** The segment that matches any segment. */
    static final String WILDCARD = "*";

    private final String text;
    private final List<String> segments;

    private PathPattern(String text) {
        this.text = text;
        this.segments = List.of(text.split("/", -1));
    }

    /**
     * Parses a pattern.
     *
     * @param text the pattern, which starts with a slash
     * @return the pattern
     */
    @JsonCreator
    static PathPattern of(String text) {
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("a path must start with a slash: " + text);
        }
        return new PathPattern(text);
    }

    /**
     * Matches a path.
     *
     * @param path the path without its query
     * @return the segments that the wildcards matched, or empty if the path does not match
     */
    Optional<List<String>> match(String path) {
        String[] given = path.split("/", -1);
        if (given.length != segments.size()) {
            return Optional.empty();
        }
        List<String> matched = new ArrayList<>(1);
        for (int i = 0; i < given.length; i++) {
            if (segments.get(i).equals(WILDCARD)) {
                matched.add(given[i]);
            } else if (!segments.get(i).equals(given[i])) {
                return Optional.empty();
            }
        }
        return Optional.of(matched);
    }

    @Override
    public String toString() {
        return text;
    }
}
