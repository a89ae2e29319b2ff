package org.carawaysill.policy.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.ConfigurationChange;
import org.carawaysill.policy.message.PeerMessage.LineEdit;
import org.junit.jupiter.api.Test;

class LineDifferenceTest {

    @Property(seed = "1", tries = 500)
    void applyingTheDifferenceGivesTheTarget(
            @ForAll @Size(max = 60) List<@IntRange(max = 6) Integer> base,
            @ForAll @Size(max = 60) List<@IntRange(max = 6) Integer> target) {
        List<String> from = base.stream().map(String::valueOf).toList();
        List<String> to = target.stream().map(String::valueOf).toList();

        assertEquals(Optional.of(to), LineDifference.apply(from, LineDifference.between(from, to)));
    }

    @Test
    void aCompletelyDifferentTextIsReplacedByOneEdit() {
        List<String> from = IntStream.range(0, 30_000).mapToObj(i -> "a" + i).toList();
        List<String> to = IntStream.range(0, 30_000).mapToObj(i -> "b" + i).toList();

        assertEquals(List.of(new LineEdit(0, 30_000, to)), LineDifference.between(from, to));
    }

    @Test
    void editsThatDoNotApplyAreRefused() {
        assertEquals(Optional.empty(), LineDifference.apply(List.of("a"), List.of(new LineEdit(1, 1, List.of()))));
        assertEquals(Optional.empty(), LineDifference.apply(List.of("a"), List.of(new LineEdit(-1, 0, List.of()))));
        assertEquals(Optional.empty(), LineDifference.apply(List.of("a"), List.of(new LineEdit(9, 0, List.of()))));
    }

    @Test
    void twoChangedLinesOfALargeDocumentAreEncodedInAFewBytes() {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < 3_000; i++) {
            lines.add("name = \"some operation number " + i + "\"");
        }
        DocumentHistory history = new DocumentHistory(new ServiceName("manifests"));
        String before = LineDifference.join(lines);
        history.add(7, before);
        lines.set(10, "name = \"renamed\"");
        lines.add(2_900, "name = \"added\"");
        history.add(9, LineDifference.join(lines));

        ConfigurationChange change = history.change(7).orElseThrow();

        assertTrue(before.length() > 100_000);
        assertEquals(50, DocumentHistory.estimatedSize(change));
        assertEquals(2, change.edits().size());
    }
}
