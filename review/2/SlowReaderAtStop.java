package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A client sends reads one behind the other on a kept connection and reads the answers slowly; meanwhile its node gets
 * SIGTERM. All answers could be read within the request's deadlines and before the end of grace_s.
 */
public final class SlowReaderAtStop {

    private static final int REQUESTS = 600;
    private static final int REQUESTS_PER_SECOND = 120;
    private static final int ANSWER_BYTES = 36_000;
    private static final double READ_BYTES_PER_SECOND = 2_750_000;
    private static final int DEADLINE_MILLIS = 5000;
    private static final int TERM_AFTER_MILLIS = 3000;
    private static final int WORK_MILLIS = 20;

    /** LOST has no such limit around planned work; a few requests more than none exclude an accident. */
    private static final int MOST_LOST = 3;

    private final Record record;
    private final boolean trouble;

    private SlowReaderAtStop(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Plays the case: arguments are the repository's root and the record's file. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[1]))) {
            try (Installation site = new Installation(Path.of(arguments[0]), record, 3)) {
                status = new SlowReaderAtStop(record, trouble).play(site);
            } catch (IOException | InterruptedException failure) {
                record.say("couldn't run: %s", failure);
            }
        }
        System.exit(status);
    }

    private int play(Installation site) throws IOException, InterruptedException {
        Installation.Machine front = site.add("zone-a", "front", 50, _ -> new Target.Result(200, new byte[100]));
        for (int i = 0; i < 2; i++) {
            site.add("zone-a", "files", 100, _ -> {
                Thread.sleep(WORK_MILLIS);
                return new Target.Result(200, new byte[ANSWER_BYTES]);
            });
        }
        site.configure(1, List.of(new Installation.Route("files.example", "safe", "files", DEADLINE_MILLIS, 1200, 2)));
        site.publishTargets(1500);
        for (Installation.Machine machine : site.machines) {
            site.start(machine);
        }
        site.awaitReady(30_000);
        Thread.sleep(1000);

        Set<Integer> complete = new TreeSet<>();
        long[] sentNanos = new long[REQUESTS];
        String end = "all answers were read";
        long start = System.nanoTime();
        try (Socket socket = new Socket()) {
            // A usual size; the system would otherwise enlarge it while the client reads.
            socket.setReceiveBufferSize(64 * 1024);
            site.connect(front, socket);
            Thread.ofVirtual().start(() -> send(socket, sentNanos));
            if (trouble) {
                Thread.ofVirtual().start(() -> stopLater(site, front, start));
            }
            InputStream in = new BufferedInputStream(new SlowInput(socket.getInputStream(), READ_BYTES_PER_SECOND));
            for (int i = 0; i < REQUESTS; i++) {
                Http.Message answer = Http.read(in);
                record.line("answer %s %d, %d bytes", answer.header("Request-Id"), answer.status(), answer.body().length);
                if (answer.status() != 200 || !answer.header("Request-Id").equals("read-" + i)) {
                    record.say("couldn't run: request %d was answered %s", i, answer.start());
                    return 2;
                }
                complete.add(i);
            }
        } catch (IOException cut) {
            end = cut.toString();
        }
        double ended = (System.nanoTime() - start) / 1e9;
        return judge(site, complete, sentNanos, ended, end);
    }

    private void send(Socket socket, long[] sentNanos) {
        try {
            long next = System.nanoTime();
            for (int i = 0; i < REQUESTS; i++) {
                sentNanos[i] = System.nanoTime();
                record.line("send read-%d", i);
                socket.getOutputStream()
                        .write(("GET /p/" + i + " HTTP/1.1\r\nHost: files.example\r\nRequest-Id: read-" + i
                                        + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\n\r\n")
                                .getBytes());
                next += 1_000_000_000L / REQUESTS_PER_SECOND;
                long wait = next - System.nanoTime();
                if (wait > 0) {
                    Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                }
            }
        } catch (IOException | InterruptedException ended) {
            record.line("sending ended: %s", ended);
        }
    }

    private void stopLater(Installation site, Installation.Machine front, long start) {
        try {
            Thread.sleep(TERM_AFTER_MILLIS);
            site.signal(front, "TERM");
            long signalled = System.nanoTime();
            site.node(front).waitFor();
            record.say(
                    "the node ended %.2f s after SIGTERM; grace_s is 6",
                    (System.nanoTime() - signalled) / 1e9);
        } catch (IOException | InterruptedException failure) {
            record.say("%s", failure);
        }
    }

    private int judge(Installation site, Set<Integer> complete, long[] sentNanos, double ended, String end) {
        int lost = 0;
        long now = System.nanoTime();
        for (int i = 0; i < REQUESTS; i++) {
            String name = "read-" + i;
            boolean ran = site.machines.stream()
                    .anyMatch(machine -> machine.target().runs().containsKey(name));
            boolean inTime = sentNanos[i] > 0 && now - sentNanos[i] < DEADLINE_MILLIS * 1_000_000L;
            if (!complete.contains(i) && ran && inTime) {
                lost++;
                record.line("lost %s: it ran, and its connection ended without its whole answer", name);
            }
        }
        record.say(
                "%d of %d answers complete; the connection ended after %.2f s: %s", complete.size(), REQUESTS, ended, end);
        record.say("%d requests ran and got no complete answer before their deadlines", lost);
        return lost > MOST_LOST ? 1 : 0;
    }

    /** Reads at a limited rate. Not thread safe. */
    private static final class SlowInput extends InputStream {

        private static final int MOST_AT_ONCE = 16 * 1024;

        private final InputStream in;
        private final double bytesPerSecond;
        private long startNanos;
        private long count;

        SlowInput(InputStream in, double bytesPerSecond) {
            this.in = in;
            this.bytesPerSecond = bytesPerSecond;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            if (startNanos == 0) {
                startNanos = System.nanoTime();
            }
            int read = in.read(bytes, offset, Math.min(length, MOST_AT_ONCE));
            count += Math.max(0, read);
            long wait = startNanos + (long) (count / bytesPerSecond * 1e9) - System.nanoTime();
            if (wait > 0) {
                try {
                    Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                } catch (InterruptedException interrupted) {
                    throw new IOException(interrupted);
                }
            }
            return read;
        }
    }
}
