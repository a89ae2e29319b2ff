package org.carawaysill.model.configuration;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * A pattern for paths: a segment {@code *} matches one segment, a final segment {@code **} matches any number of
 * segments, including none.
 *
 * <p>No star matches an empty segment or a dot segment, so that a path which a copy would resolve to another path is
 * not matched to this operation. Immutable and thread safe.
 */
final class PathPattern {

    static final String ONE_SEGMENT = "*";
    static final String REMAINING_SEGMENTS = "**";
    private static final char SEPARATOR = '/';

    private final String text;
    private final String[] segments;
    private final boolean openEnded;

    /**
     * Parses a pattern.
     *
     * @param pattern the pattern
     * @throws IllegalArgumentException if it is malformed; the message describes the fault
     */
    PathPattern(String pattern) {
        if (!pattern.startsWith("/") || pattern.contains("?") || pattern.contains("#") || pattern.contains(" ")) {
            throw new IllegalArgumentException(
                    "expected a path that starts with / and has neither query, fragment nor space, found \"" + pattern
                            + '"');
        }
        text = pattern;
        String[] written = pattern.substring(1).split("/", -1);
        for (int i = 0; i < written.length; i++) {
            checkSegment(written[i], i == written.length - 1);
        }
        openEnded = written[written.length - 1].equals(REMAINING_SEGMENTS);
        segments = openEnded ? Arrays.copyOf(written, written.length - 1) : written;
    }

    private static void checkSegment(String segment, boolean last) {
        boolean wellFormed = !segment.contains(ONE_SEGMENT)
                || segment.equals(ONE_SEGMENT)
                || last && segment.equals(REMAINING_SEGMENTS);
        if (!wellFormed) {
            throw new IllegalArgumentException(
                    "a * stands for a whole segment and ** for the rest at the end, found segment \"" + segment + '"');
        }
        if (isDotSegment(segment)) {
            throw new IllegalArgumentException(
                    "a path must not contain a segment . or .., found segment \"" + segment + '"');
        }
    }

    /** Returns the pattern as written. */
    String text() {
        return text;
    }

    /** Returns the literal first segment that every matching path has, if the pattern has one. */
    Optional<String> firstLiteral() {
        return segments.length == 0 || segments[0].equals(ONE_SEGMENT) ? Optional.empty() : Optional.of(segments[0]);
    }

    /** Returns the first segment of a path, with or without its query; empty if the path has none. */
    static String firstSegment(String path) {
        int end = endOfPath(path);
        return end == 0 ? "" : path.substring(1, endOfSegment(path, 1, end));
    }

    /**
     * Returns whether a path matches this pattern.
     *
     * @param path the path, with or without its query
     * @return whether it matches
     */
    boolean matches(String path) {
        int end = endOfPath(path);
        int position = 0;
        for (String segment : segments) {
            if (position >= end || path.charAt(position) != SEPARATOR) {
                return false;
            }
            int next = endOfSegment(path, position + 1, end);
            if (!segmentMatches(segment, path, position + 1, next)) {
                return false;
            }
            position = next;
        }
        return position == end || openEnded && hasNoDotSegment(path, position, end);
    }

    /**
     * Returns whether this pattern matches every path that another one matches.
     *
     * @param other the other pattern
     * @return true if every path that the other matches also matches this pattern
     */
    boolean covers(PathPattern other) {
        boolean lengthFits = openEnded
                ? other.segments.length >= segments.length
                : other.segments.length == segments.length && !other.openEnded;
        if (!lengthFits) {
            return false;
        }
        for (int i = 0; i < segments.length; i++) {
            if (!segments[i].equals(ONE_SEGMENT) && !segments[i].equals(other.segments[i])) {
                return false;
            }
        }
        return true;
    }

    private static int endOfPath(String path) {
        int query = path.indexOf('?');
        return query < 0 ? path.length() : query;
    }

    private static int endOfSegment(String path, int start, int end) {
        int separator = path.indexOf(SEPARATOR, start);
        return separator < 0 || separator > end ? end : separator;
    }

    private static boolean segmentMatches(String segment, String path, int start, int end) {
        if (segment.equals(ONE_SEGMENT)) {
            return end > start && !isDotSegment(path, start, end);
        }
        return segment.length() == end - start && path.startsWith(segment, start);
    }

    private static boolean hasNoDotSegment(String path, int start, int end) {
        int position = start;
        while (position < end) {
            int next = endOfSegment(path, position + 1, end);
            if (isDotSegment(path, position + 1, next)) {
                return false;
            }
            position = next;
        }
        return true;
    }

    /**
     * Guards against a path such as {@code /bills/../issue}: classified by its literal form, it would get the terms of
     * one operation, possibly as idempotent, while the copy resolves it and runs another operation. Such a path matches
     * no operation and is refused.
     */
    private static boolean isDotSegment(String path, int start, int end) {
        boolean possible = start < end && (path.charAt(start) == '.' || path.charAt(start) == '%');
        return possible && isDotSegment(path.substring(start, end));
    }

    private static boolean isDotSegment(String segment) {
        String decoded = segment.toLowerCase(Locale.ROOT).replace("%2e", ".");
        return decoded.equals(".") || decoded.equals("..");
    }
}
