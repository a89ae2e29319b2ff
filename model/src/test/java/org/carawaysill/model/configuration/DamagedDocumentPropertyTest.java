package org.carawaysill.model.configuration;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.carawaysill.model.document.Fault;

/** Verifies that parsing any document yields a configuration, or faults at lines that exist. */
class DamagedDocumentPropertyTest {

    private static final String DAMAGE = "[]{}\"'=.#,\n\\* 9";

    @Property(seed = "1", tries = 3000)
    void damageNeverEndsInAnException(
            @ForAll @IntRange(max = 500) int position,
            @ForAll @IntRange(max = 12) int removed,
            @ForAll @IntRange(max = 14) int inserted) {
        String text = Documents.SMALL;
        int start = Math.min(position, text.length());
        int end = Math.min(start + removed, text.length());
        String damaged = text.substring(0, start) + DAMAGE.charAt(inserted) + text.substring(end);

        for (Fault fault : Documents.faults(damaged)) {
            assertTrue(fault.line() >= 0 && fault.line() <= damaged.lines().count() + 1, fault::toString);
        }
    }
}
