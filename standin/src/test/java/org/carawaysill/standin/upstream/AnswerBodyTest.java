package org.carawaysill.standin.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class AnswerBodyTest {

    @Property(seed = "1", tries = 300)
    void statesItsTrueLength(
            @ForAll @AlphaChars @StringLength(max = 60) String chain, @ForAll @IntRange(max = 1100) int leastLength) {
        AnswerBody body = new AnswerBody("00ff", "lookup", chain);
        Buffer bytes = body.encode(leastLength);

        assertEquals(bytes.length(), bytes.toJsonObject().getInteger("length"));
        assertEquals(Math.max(leastLength, bytes.length()), bytes.length());
        assertEquals(Optional.of(body), AnswerBody.decode(bytes));
    }

    /**
     * A user sees half a document taken for a whole one. A deeper copy's answer is cut, the padding so that the rest
     * still parses; the cause is a caller that trusts what parses. The stated length gives it away.
     */
    @Test
    void isNotReadWhenItWasCut() {
        String whole = new AnswerBody("00ff", "lookup", "manifests").encode(200).toString();

        assertEquals(Optional.empty(), AnswerBody.decode(Buffer.buffer(whole.substring(0, 150))));
        assertEquals(Optional.empty(), AnswerBody.decode(Buffer.buffer(whole.replace("--", "-"))));
    }
}
