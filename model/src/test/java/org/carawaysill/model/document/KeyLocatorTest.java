package org.carawaysill.model.document;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Verifies that keys are located at their lines in every form that TOML allows. */
class KeyLocatorTest {

    private static final String TEXT = """
            title = \"\"\"
            [not.a.table]
            key = "no\\"key"
            \"\"\" # [[nor]] this
            literal = '''
            ''quoted'''
            [a."b.c"] # comment
            list = [
              "one", # comment with ]
              [ { inner = 1 } ],
            ]
            d.e = { f = "x=y", 'g' = 2 }
            [[rows]]
            first = 1
            [rows.below]
            second = 2
            [[rows]]
              third = "#"
            """;

    private final KeyLines lines = KeyLocator.locate(TEXT);

    @Test
    void findsKeysAfterTextsOfSeveralLines() {
        assertEquals(1, lines.field("title").line());
        assertEquals(5, lines.field("literal").line());
        assertEquals(7, lines.field("a").field("b.c").line());
    }

    @Test
    void findsElementsAndInlineTables() {
        KeyLines table = lines.field("a").field("b.c");
        assertEquals(8, table.field("list").line());
        assertEquals(9, table.field("list").element(0).line());
        assertEquals(
                10, table.field("list").element(1).element(0).field("inner").line());
        assertEquals(12, table.field("d").field("e").field("g").line());
    }

    @Test
    void findsTablesBelowTheLastElement() {
        KeyLines rows = lines.field("rows");
        assertEquals(14, rows.element(0).field("first").line());
        assertEquals(16, rows.element(0).field("below").field("second").line());
        assertEquals(18, rows.element(1).field("third").line());
    }

    @Test
    void returnsTheLineOfTheTableForAnAbsentKey() {
        assertEquals(17, lines.field("rows").element(1).field("absent").line());
    }
}
