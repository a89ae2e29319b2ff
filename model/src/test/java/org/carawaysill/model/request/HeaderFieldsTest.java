package org.carawaysill.model.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HeaderFieldsTest {

    @Property(seed = "1", tries = 500)
    void areThoseOfTheListTheyWereMadeOf(@ForAll List<String> texts) {
        List<Header> fields = new ArrayList<>();
        texts.forEach(text -> fields.add(new Header(wellFormed(text), wellFormed(text + text))));
        HeaderFields compact = HeaderFields.copyOf(fields);
        assertEquals(fields, new ArrayList<>(compact));
        assertEquals(fields.hashCode(), compact.hashCode());
        assertEquals(compact, HeaderFields.copyOf(new ArrayList<>(compact)));
        assertEquals(fields.size(), compact.size());
        if (!fields.isEmpty()) {
            assertEquals(fields.getLast(), compact.get(fields.size() - 1));
        }
    }

    /** Half of a surrogate pair has no encoding, and is in no field that was received. */
    private static String wellFormed(String text) {
        return text.replaceAll("[\\ud800-\\udfff]", "");
    }

    @Nested
    class Memory {

        /** Guards against fields that take many times the bytes of their lines. */
        @Test
        void isAboutThatOfTheLines() {
            List<Header> lines = Collections.nCopies(4000, new Header("a", ""));
            assertTrue(HeaderFields.copyOf(lines).byteCount() <= 4000 * "a:\r\n".length());
        }
    }

    @Nested
    class Access {

        @Test
        void beyondTheLastFieldIsRefused() {
            HeaderFields fields = HeaderFields.copyOf(List.of(new Header("a", "b")));
            assertThrows(IndexOutOfBoundsException.class, () -> fields.get(1));
        }
    }
}
