package org.carawaysill.standin.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RunTableTest {

    private record Pair(TraceIdentifier trace, int operation) {}

    @Property(seed = "1", tries = 30)
    void countsAsAMapDoes(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<Pair, Integer> expected = new HashMap<>();
        RunTable table = new RunTable(10_000);
        for (int i = 0; i < 8_000; i++) {
            Pair pair = new Pair(new TraceIdentifier(random.nextLong(3), random.nextLong(1_500)), random.nextInt(2));
            assertEquals(expected.merge(pair, 1, Integer::sum), table.count(pair.trace(), pair.operation()));
        }
        assertEquals(expected.size(), table.size());
        for (int entry = 0; entry < table.size(); entry++) {
            assertEquals(expected.get(new Pair(table.trace(entry), table.operation(entry))), table.runs(entry));
        }
    }

    @Test
    void takesNothingNewInWhenFullButCountsWhatItKnows() {
        RunTable table = new RunTable(1);
        TraceIdentifier known = new TraceIdentifier(1, 2);

        assertEquals(1, table.count(known, 0));
        assertEquals(0, table.count(known, 1));
        assertEquals(2, table.count(known, 0));
        assertEquals(1, table.size());
    }
}
