package org.carawaysill.protocol.codec;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.ContentRules;
import org.carawaysill.model.request.Priority;
import org.carawaysill.protocol.generated.Identifier;

/** Checks and conversions of single fields, shared by the codecs. Stateless and thread safe. */
final class Fields {

    /** The longest duration that is sent; longer ones are clamped to it before sending. */
    static final Duration MAXIMUM_DURATION = Duration.ofDays(30);

    /** The greatest admission cut: one above the greatest priority, so that nothing is admitted. */
    static final int MAXIMUM_CUT = Priority.MAXIMUM + 1;

    private Fields() {}

    static void requirePresent(boolean present, String field) throws ProtocolFault {
        if (!present) {
            throw new ProtocolFault(ProtocolFault.Kind.MISSING, field);
        }
    }

    static String notBlank(String text, String field) throws ProtocolFault {
        requirePresent(!text.isBlank(), field);
        return text;
    }

    static ServiceName service(String text) throws ProtocolFault {
        return new ServiceName(notBlank(text, "service"));
    }

    static Optional<OrganisationName> organisation(String text) throws ProtocolFault {
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new OrganisationName(text));
        } catch (IllegalArgumentException unreadable) {
            throw new ProtocolFault(ProtocolFault.Kind.BAD_TEXT, "organisation");
        }
    }

    static int inRange(int value, int minimum, int maximum, String field) throws ProtocolFault {
        if (value < minimum || value > maximum) {
            throw new ProtocolFault(ProtocolFault.Kind.OUT_OF_RANGE, field);
        }
        return value;
    }

    static int notNegative(int value, String field) throws ProtocolFault {
        return inRange(value, 0, Integer.MAX_VALUE, field);
    }

    static long notNegative(long value, String field) throws ProtocolFault {
        if (value < 0) {
            throw new ProtocolFault(ProtocolFault.Kind.OUT_OF_RANGE, field);
        }
        return value;
    }

    static float notNegative(float value, String field) throws ProtocolFault {
        if (!(value >= 0) || Float.isInfinite(value)) {
            throw new ProtocolFault(ProtocolFault.Kind.OUT_OF_RANGE, field);
        }
        return value;
    }

    /** Checks a duration; the bound ensures that its sum with any monotonic time does not overflow. */
    static long durationNanos(long value, String field) throws ProtocolFault {
        if (value < 0 || value > MAXIMUM_DURATION.toNanos()) {
            throw new ProtocolFault(ProtocolFault.Kind.OUT_OF_RANGE, field);
        }
        return value;
    }

    /** Clamps a duration to the range that {@link #durationNanos} accepts: a deadline that has passed is sent as 0. */
    static long clampedNanos(long nanos) {
        return Math.clamp(nanos, 0, MAXIMUM_DURATION.toNanos());
    }

    /** Clamps a duration of any length to the range that {@link #durationNanos} accepts. */
    static long clampedNanos(Duration duration) {
        if (duration.compareTo(MAXIMUM_DURATION) > 0) {
            return MAXIMUM_DURATION.toNanos();
        }
        return duration.isNegative() ? 0 : duration.toNanos();
    }

    /** Checks a method, path or header name. */
    static String withoutWhiteSpace(String text, String field) throws ProtocolFault {
        requirePresent(!text.isEmpty(), field);
        return require(ContentRules.isWithoutWhiteSpace(text), text, field);
    }

    /** Checks a header's value. */
    static String singleLine(String text, String field) throws ProtocolFault {
        return require(ContentRules.isSingleLine(text), text, field);
    }

    private static String require(boolean allowed, String text, String field) throws ProtocolFault {
        if (!allowed) {
            throw new ProtocolFault(ProtocolFault.Kind.BAD_TEXT, field);
        }
        return text;
    }

    static String utf8(byte[] bytes, String field) throws ProtocolFault {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new ProtocolFault(ProtocolFault.Kind.BAD_TEXT, field);
        }
    }

    static Identifier identifier(AttemptIdentifier attempt) {
        return identifier(attempt.high(), attempt.low());
    }

    static Identifier identifier(RequestIdentifier request) {
        return identifier(request.high(), request.low());
    }

    private static Identifier identifier(long high, long low) {
        return Identifier.newBuilder().setHigh(high).setLow(low).build();
    }

    static AttemptIdentifier attempt(boolean present, Identifier identifier) throws ProtocolFault {
        requirePresent(present, "attempt");
        return new AttemptIdentifier(identifier.getHigh(), identifier.getLow());
    }

    static RequestIdentifier request(boolean present, Identifier identifier) throws ProtocolFault {
        requirePresent(present, "request");
        return new RequestIdentifier(identifier.getHigh(), identifier.getLow());
    }
}
