package org.carawaysill.load.report;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.carawaysill.load.client.RequestRecord;
import org.carawaysill.load.scenario.Timeline;
import org.carawaysill.load.scenario.Window;

/**
 * The numbers of requests sent and answered, in buckets of 100 milliseconds.
 *
 * <p>Immutable and thread safe.
 */
final class Buckets {

    static final long BUCKET_NANOS = 100_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Timeline timeline;
    private final int[] sent;
    private final int[] whole;

    Buckets(Timeline timeline, List<RequestRecord> records) {
        this.timeline = timeline;
        int length = (int) (timeline.endNanos() / BUCKET_NANOS) + 1;
        this.sent = new int[length];
        this.whole = new int[length];
        records.forEach(this::count);
    }

    private void count(RequestRecord request) {
        sent[bucket(request.arrival().atNanos())]++;
        int finished = bucket(request.finishedNanos());
        if (request.whole() && finished < whole.length) {
            whole[finished]++;
        }
    }

    private static int bucket(long atNanos) {
        return (int) (atNanos / BUCKET_NANOS);
    }

    int length() {
        return whole.length;
    }

    int sent(int from, int until) {
        return IntStream.range(from, Math.min(until, sent.length))
                .map(i -> sent[i])
                .sum();
    }

    int whole(int from, int until) {
        return IntStream.range(from, Math.min(until, whole.length))
                .map(i -> whole[i])
                .sum();
    }

    Series series() {
        List<Series.Interval> triggers =
                timeline.triggers().stream().map(Buckets::interval).toList();
        return new Series(
                BUCKET_NANOS / NANOS_PER_SECOND,
                Arrays.stream(sent).boxed().toList(),
                Arrays.stream(whole).boxed().toList(),
                triggers);
    }

    private static Series.Interval interval(Window window) {
        return new Series.Interval(window.startNanos() / NANOS_PER_SECOND, window.endNanos() / NANOS_PER_SECOND);
    }
}
