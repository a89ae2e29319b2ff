package org.carawaysill.model.document;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The format of a duration with its unit, such as {@code 250ms}, {@code 2s}, {@code 10m} or {@code 1h}. Immutable and
 * thread safe.
 *
 * @param minimum the least duration
 * @param maximum the greatest duration
 */
public record DurationFormat(Duration minimum, Duration maximum) implements TextFormat<Duration> {

    private static final Pattern PATTERN = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");
    private static final Map<String, Duration> UNITS = Map.of(
            "ms",
            Duration.ofMillis(1),
            "s",
            Duration.ofSeconds(1),
            "m",
            Duration.ofMinutes(1),
            "h",
            Duration.ofHours(1));

    @Override
    public Duration parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(
                    "expected a whole number with a unit (ms, s, m or h), such as \"2s\", found \"" + text + '"');
        }
        Duration duration = UNITS.get(matcher.group(2)).multipliedBy(Long.parseLong(matcher.group(1)));
        if (duration.compareTo(minimum) < 0 || duration.compareTo(maximum) > 0) {
            throw new IllegalArgumentException(
                    "expected " + write(minimum) + " to " + write(maximum) + ", found \"" + text + '"');
        }
        return duration;
    }

    /**
     * Writes a duration in the form that this format reads.
     *
     * @param duration a duration of whole milliseconds
     * @return the text, in the largest unit that divides it
     */
    public static String write(Duration duration) {
        long milliseconds = duration.toMillis();
        for (String unit : new String[] {"h", "m", "s"}) {
            long unitMilliseconds = UNITS.get(unit).toMillis();
            if (milliseconds >= unitMilliseconds && milliseconds % unitMilliseconds == 0) {
                return milliseconds / unitMilliseconds + unit;
            }
        }
        return milliseconds + "ms";
    }
}
