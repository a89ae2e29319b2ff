package org.carawaysill.model.configuration;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * A pattern for paths: a segment {@code *} matches one segment, a last segment {@code **} any rest, also none.
 *
 * <p>No star matches an empty segment or a dot segment, so that a path that a copy would resolve to another one is not
 * taken for this operation. Immutable and thread safe.
 */
final class PathPattern {

    static final String ONE = "*";
    static final String REST = "**";
    private static final char SEPARATOR = '/';

    private final String text;
    private final String[] segments;
    private final boolean openEnded;

    /**
     * Reads a pattern.
     *
     * @param pattern the pattern
     * @throws IllegalArgumentException if it is malformed; the message tells how
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
        openEnded = written[written.length - 1].equals(REST);
        segments = openEnded ? Arrays.copyOf(written, written.length - 1) : written;
    }

    private static void checkSegment(String segment, boolean last) {
        boolean wellFormed = !segment.contains(ONE) || segment.equals(ONE) || last && segment.equals(REST);
        if (!wellFormed) {
            throw new IllegalArgumentException(
                    "a * stands for a whole segment and ** for the rest at the end, found segment \"" + segment + '"');
        }
        if (isDotSegment(segment)) {
            throw new IllegalArgumentException("a segment . or .. never arrives, found \"" + segment + '"');
        }
    }

    /** Gives the pattern as written. */
    String text() {
        return text;
    }

    /** Gives the first segment that each matching path has, if there is one. */
    Optional<String> firstLiteral() {
        return segments.length == 0 || segments[0].equals(ONE) ? Optional.empty() : Optional.of(segments[0]);
    }

    /** Gives the first segment of a path, with or without its query; empty where the path has none. */
    static String firstSegment(String path) {
        int end = endOfPath(path);
        return end == 0 ? "" : path.substring(1, endOfSegment(path, 1, end));
    }

    /**
     * Matches a path.
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
     * Tells whether this pattern matches each path that another matches.
     *
     * @param other the other pattern
     * @return true if nothing is left for the other
     */
    boolean covers(PathPattern other) {
        boolean lengthFits = openEnded
                ? other.segments.length >= segments.length
                : other.segments.length == segments.length && !other.openEnded;
        if (!lengthFits) {
            return false;
        }
        for (int i = 0; i < segments.length; i++) {
            if (!segments[i].equals(ONE) && !segments[i].equals(other.segments[i])) {
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
        if (segment.equals(ONE)) {
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
     * Guards against a path such as {@code /bills/../issue}: classified by its written form it would get the terms of
     * one operation, idempotent perhaps, while the copy resolves it and runs another. Such a path matches no operation
     * and is refused.
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
