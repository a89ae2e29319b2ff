package org.carawaysill.policy.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.policy.message.PeerMessage.LineEdit;

/**
 * Computes and applies the line-based difference between two texts.
 *
 * <p>Invariant: applying the computed edits to the first text yields the second. The edits are short for a few
 * scattered changes. The number of comparisons is bounded: when it is used up, one edit replaces the rest. No shared
 * state; thread safe.
 */
final class LineDifference {

    /** The number of consecutive equal lines at which the texts count as matching again. */
    private static final int MATCHING_LINES = 3;

    /** The maximum number of lines that one edit removes and adds in total before the rest is replaced. */
    private static final int MAX_CHANGED_LINES = 400;

    private static final int MAX_COMPARISONS = 500_000;

    private final List<String> base;
    private final List<String> target;
    private final int baseEnd;
    private final int targetEnd;
    private final List<LineEdit> edits = new ArrayList<>();
    private int comparisonsLeft = MAX_COMPARISONS;

    private LineDifference(List<String> base, List<String> target) {
        this.base = base;
        this.target = target;
        int suffix = commonSuffix();
        this.baseEnd = base.size() - suffix;
        this.targetEnd = target.size() - suffix;
    }

    /**
     * Splits a text so that {@link #join(List)} restores it.
     *
     * @param text the text
     * @return its lines
     */
    static List<String> split(String text) {
        return List.of(text.split("\n", -1));
    }

    /**
     * Joins lines into the text that they were split from.
     *
     * @param lines the lines
     * @return the text
     */
    static String join(List<String> lines) {
        return String.join("\n", lines);
    }

    /**
     * Computes the edits that transform one text into another.
     *
     * @param base the lines of the original text
     * @param target the lines of the resulting text
     * @return the replaced ranges, in ascending order
     */
    static List<LineEdit> between(List<String> base, List<String> target) {
        return new LineDifference(base, target).computeEdits();
    }

    /**
     * Applies edits.
     *
     * @param base the lines of the original text
     * @param edits the replaced ranges, in ascending order
     * @return the resulting lines; empty if the edits don't apply to the base
     */
    static Optional<List<String>> apply(List<String> base, List<LineEdit> edits) {
        List<String> result = new ArrayList<>(base.size());
        int position = 0;
        for (LineEdit edit : edits) {
            if (edit.fromLine() < position
                    || edit.removedLines() < 0
                    || edit.removedLines() > base.size() - edit.fromLine()) {
                return Optional.empty();
            }
            result.addAll(base.subList(position, edit.fromLine()));
            result.addAll(edit.addedLines());
            position = edit.fromLine() + edit.removedLines();
        }
        result.addAll(base.subList(position, base.size()));
        return Optional.of(result);
    }

    private int commonSuffix() {
        int limit = Math.min(base.size(), target.size());
        int suffix = 0;
        while (suffix < limit && base.get(base.size() - 1 - suffix).equals(target.get(target.size() - 1 - suffix))) {
            suffix++;
        }
        return suffix;
    }

    private List<LineEdit> computeEdits() {
        Position position = new Position(0, 0);
        while (position.inBase < baseEnd || position.inTarget < targetEnd) {
            if (sameLine(position.inBase, position.inTarget)) {
                position = new Position(position.inBase + 1, position.inTarget + 1);
            } else {
                position = addEdit(position);
            }
        }
        return edits;
    }

    private Position addEdit(Position from) {
        Position next = nextMatch(from);
        edits.add(new LineEdit(
                from.inBase, next.inBase - from.inBase, List.copyOf(target.subList(from.inTarget, next.inTarget))));
        return next;
    }

    private Position nextMatch(Position from) {
        for (int distance = 1; distance <= MAX_CHANGED_LINES; distance++) {
            for (int removed = 0; removed <= distance; removed++) {
                Position candidate = new Position(from.inBase + removed, from.inTarget + distance - removed);
                if (comparisonsLeft <= 0) {
                    return new Position(baseEnd, targetEnd);
                }
                if (matchesAt(candidate)) {
                    return candidate;
                }
            }
        }
        return new Position(baseEnd, targetEnd);
    }

    private boolean matchesAt(Position candidate) {
        for (int i = 0; i < MATCHING_LINES; i++) {
            int inBase = candidate.inBase + i;
            int inTarget = candidate.inTarget + i;
            if (inBase == baseEnd && inTarget == targetEnd) {
                return true;
            }
            comparisonsLeft--;
            if (!sameLine(inBase, inTarget)) {
                return false;
            }
        }
        return true;
    }

    private boolean sameLine(int inBase, int inTarget) {
        return inBase < baseEnd && inTarget < targetEnd && base.get(inBase).equals(target.get(inTarget));
    }

    private record Position(int inBase, int inTarget) {}
}
