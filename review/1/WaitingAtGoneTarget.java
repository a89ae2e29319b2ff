package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Two of five targets turn slow, so that requests wait for their slots; then the entry of one of the two is removed
 * without a "draining" before. The target serves for drain_ms and a little longer, and exits.
 */
public final class WaitingAtGoneTarget {

    private static final int TARGETS = 5;
    private static final int SLOW_TARGETS = 2;
    private static final int SLOTS = 13;
    private static final int WORK_MILLIS = 290;
    private static final int SLOWNESS = 12;
    private static final double REQUESTS_PER_SECOND = 190;
    private static final int DEADLINE_MILLIS = 5000;
    private static final int SLOW_AT_MILLIS = 4000;
    private static final int GONE_AT_MILLIS = 5000;
    private static final int END_AT_MILLIS = 10_000;

    /** The targets are slow for 6 s; the limit is 9 s. */
    private static final int SLOW_UNTIL_MILLIS = 10_000;
    private static final int DRAIN_MILLIS = 2000;

    /** How much longer than drain_ms the target serves. */
    private static final int LONGER_MILLIS = 1500;

    /** What a measurement on loopback may be late by. */
    private static final int MEASURING_MILLIS = 100;

    private final Record record;
    private final boolean trouble;
    private final boolean givesNotice;
    private final Map<String, Long> beganAtLeaving = new ConcurrentHashMap<>();
    private final Map<String, String> answers = new ConcurrentHashMap<>();
    private volatile boolean slow;
    private volatile long goneNanos;

    private WaitingAtGoneTarget(Record record, boolean trouble, boolean givesNotice) {
        this.record = record;
        this.trouble = trouble;
        this.givesNotice = givesNotice;
    }

    /** Plays the case: arguments are the repository's root and the record's file. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        // For comparison: the target says that it is draining, where it else says nothing.
        boolean givesNotice = "1".equals(System.getenv("DRAINING"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[1]))) {
            try (Installation site = new Installation(Path.of(arguments[0]), record, TARGETS + 1)) {
                status = new WaitingAtGoneTarget(record, trouble, givesNotice).play(site);
            } catch (IOException | InterruptedException failure) {
                record.say("couldn't run: %s", failure);
            }
        }
        System.exit(status);
    }

    private int play(Installation site) throws IOException, InterruptedException {
        Installation.Machine front = site.add("zone-a", "front", 50, _ -> new Target.Result(200, new byte[100]));
        for (int i = 0; i < TARGETS; i++) {
            boolean turnsSlow = i < SLOW_TARGETS;
            boolean leaves = i == 0;
            site.add("zone-a", "orders", SLOTS, request -> run(request, turnsSlow, leaves));
        }
        Installation.Machine leaving = site.machines.get(1);
        site.configure(
                1, List.of(new Installation.Route("orders.example", "non_idempotent", "orders", DEADLINE_MILLIS, 2000, 2)));
        site.publishTargets(1500);
        for (Installation.Machine machine : site.machines) {
            site.start(machine);
        }
        site.awaitReady(30_000);
        Thread.sleep(1000);

        ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor();
        long start = System.nanoTime();
        Thread timeline = Thread.ofVirtual().start(() -> disturb(site, leaving, start));
        long next = start;
        for (int i = 0; System.nanoTime() - start < END_AT_MILLIS * 1_000_000L; i++) {
            String name = "order-" + i;
            clients.submit(() -> order(site, front, name));
            next += (long) (1e9 / REQUESTS_PER_SECOND);
            long wait = next - System.nanoTime();
            if (wait > 0) {
                Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
            }
        }
        clients.shutdown();
        boolean ended = clients.awaitTermination(DEADLINE_MILLIS + 2000, TimeUnit.MILLISECONDS);
        timeline.join();
        record.line("all clients ended: %s", ended);
        return judge();
    }

    private Target.Result run(Http.Message request, boolean turnsSlow, boolean leaves) throws InterruptedException {
        if (leaves) {
            beganAtLeaving.put(request.header("Request-Id"), System.nanoTime());
        }
        Thread.sleep(slow && turnsSlow ? WORK_MILLIS * SLOWNESS : WORK_MILLIS);
        return new Target.Result(200, new byte[500]);
    }

    private void disturb(Installation site, Installation.Machine leaving, long start) {
        if (!trouble) {
            return;
        }
        try {
            sleepUntil(start, SLOW_AT_MILLIS);
            slow = true;
            record.line("%d of %d targets are %d times as slow", SLOW_TARGETS, TARGETS, SLOWNESS);
            sleepUntil(start, GONE_AT_MILLIS);
            if (givesNotice) {
                site.drain(leaving);
            } else {
                site.withdraw(leaving);
            }
            goneNanos = System.nanoTime();
            Thread.sleep(DRAIN_MILLIS + LONGER_MILLIS);
            leaving.target().exit();
            record.line("%s exits", leaving.target().id);
            sleepUntil(start, SLOW_UNTIL_MILLIS);
            slow = false;
            record.line("the targets are as fast as before");
        } catch (IOException | InterruptedException failure) {
            record.say("%s", failure);
        }
    }

    private static void sleepUntil(long start, int millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - (System.nanoTime() - start) / 1_000_000));
    }

    private void order(Installation site, Installation.Machine front, String name) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "orders.example");
        headers.put("Request-Id", name);
        headers.put("Deadline-Ms", Integer.toString(DEADLINE_MILLIS));
        String answer;
        try (Socket socket = site.connect(front)) {
            record.line("send %s", name);
            socket.getOutputStream().write(Http.message("POST /p/" + name + " HTTP/1.1", headers, new byte[300]));
            answer = Integer.toString(Http.read(Http.buffered(socket.getInputStream())).status());
        } catch (IOException cut) {
            answer = cut.toString();
        }
        answers.put(name, answer);
        record.line("answer %s %s", name, answer);
    }

    private int judge() {
        Map<String, Integer> statuses = new TreeMap<>();
        answers.values().forEach(answer -> statuses.merge(answer, 1, Integer::sum));
        record.say("answers: %s", statuses);
        if (!trouble) {
            return 0;
        }
        int late = 0;
        int lost = 0;
        double latest = 0;
        for (Map.Entry<String, Long> run : beganAtLeaving.entrySet()) {
            double after = (run.getValue() - goneNanos) / 1e6;
            if (after > DRAIN_MILLIS + MEASURING_MILLIS) {
                late++;
                latest = Math.max(latest, after);
                String answer = answers.getOrDefault(run.getKey(), "none");
                lost += answer.equals("200") ? 0 : 1;
                record.line("late %s began %.0f ms after the removal, its client got: %s", run.getKey(), after, answer);
            }
        }
        record.say(
                "%d requests reached the target later than drain_ms after the removal of its entry, the last after %.0f ms;"
                        + " %d of them ran and got no answer of the target",
                late, latest, lost);
        return late > 0 ? 1 : 0;
    }
}
