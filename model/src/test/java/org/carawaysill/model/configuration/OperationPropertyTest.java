package org.carawaysill.model.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Verifies that the index and the check for unreachable operations agree with a comparison of all operations. */
class OperationPropertyTest {

    @Property(seed = "1", tries = 2000)
    void indexFindsTheFirstThatMatches(@ForAll("patternLists") List<String> patterns, @ForAll("paths") String path) {
        OperationIndex index = new OperationIndex();
        List<CompiledOperation> operations =
                patterns.stream().map(OperationPropertyTest::operation).toList();
        operations.forEach(index::add);

        Optional<CompiledOperation> expected = operations.stream()
                .filter(operation -> operation.matches("GET", path))
                .findFirst();

        assertEquals(expected, index.firstMatch("GET", path));
    }

    @Property(seed = "1", tries = 2000)
    void aCoveringPatternMatchesWhateverTheOtherMatches(
            @ForAll("patterns") String first, @ForAll("patterns") String second, @ForAll("paths") String path) {
        PathPattern cover = new PathPattern(first);
        PathPattern covered = new PathPattern(second);

        if (cover.covers(covered) && covered.matches(path)) {
            assertTrue(cover.matches(path));
        }
    }

    @Provide
    Arbitrary<List<String>> patternLists() {
        return patterns().list().ofMaxSize(8);
    }

    @Provide
    Arbitrary<String> patterns() {
        Arbitrary<String> segments = Arbitraries.of("a", "b", "*");
        Arbitrary<String> ends = Arbitraries.of("", "/**");
        return segments.list()
                .ofMinSize(1)
                .ofMaxSize(3)
                .map(list -> "/" + String.join("/", list))
                .flatMap(start -> ends.map(end -> start + end));
    }

    @Provide
    Arbitrary<String> paths() {
        Arbitrary<String> segments = Arbitraries.of("a", "b", "c", "..", "");
        return segments.list().ofMaxSize(4).map(list -> "/" + String.join("/", list));
    }

    private static CompiledOperation operation(String path) {
        return new CompiledOperation(new Operation(path, "GET", path, Labels.NONE), new PathPattern(path), 0);
    }
}
