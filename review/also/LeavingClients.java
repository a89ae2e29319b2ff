package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Three of ten clients that send reads one behind the other close their connections before they are answered. */
public final class LeavingClients {

    private static final int CLIENTS = 10;
    private static final int LEAVING_CLIENTS = 3;
    private static final int REQUESTS_OF_LEAVING = 80;
    private static final int REQUESTS_OF_STAYING = 4;
    private static final int TARGETS = 4;
    private static final int SLOTS = 30;
    private static final int WORK_MILLIS = 1400;
    private static final int DEADLINE_MILLIS = 5000;
    private static final int LEAVE_AFTER_MILLIS = 500;
    private static final int LATE_AFTER_MILLIS = 500;

    /** What a measurement on loopback may be late by. */
    private static final int MEASURING_MILLIS = 100;

    /** The rule says "more than a few". */
    private static final int A_FEW = 20;

    private final Record record;
    private final boolean trouble;
    private final Map<String, Long> beganNanos = new ConcurrentHashMap<>();
    private final Map<String, Long> closedNanos = new ConcurrentHashMap<>();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();

    private LeavingClients(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Plays the case: arguments are the repository's root and the record's file. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[1]))) {
            try (Installation site = new Installation(Path.of(arguments[0]), record, TARGETS + 1)) {
                status = new LeavingClients(record, trouble).play(site);
            } catch (IOException | InterruptedException failure) {
                record.say("couldn't run: %s", failure);
            }
        }
        System.exit(status);
    }

    private int play(Installation site) throws IOException, InterruptedException {
        Installation.Machine front = site.add("zone-a", "front", 50, _ -> new Target.Result(200, new byte[100]));
        for (int i = 0; i < TARGETS; i++) {
            site.add("zone-a", "lookups", SLOTS, request -> {
                beganNanos.put(request.header("Request-Id"), System.nanoTime());
                Thread.sleep(WORK_MILLIS);
                return new Target.Result(200, new byte[400]);
            });
        }
        site.configure(
                1, List.of(new Installation.Route("lookups.example", "safe", "lookups", DEADLINE_MILLIS, 1200, 2)));
        site.publishTargets(1500);
        for (Installation.Machine machine : site.machines) {
            site.start(machine);
        }
        site.awaitReady(30_000);
        Thread.sleep(1000);

        ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor();
        for (int client = 0; client < CLIENTS; client++) {
            int number = client;
            boolean leaves = client < LEAVING_CLIENTS;
            clients.submit(() -> lookUp(site, front, number, leaves));
        }
        clients.shutdown();
        clients.awaitTermination(2 * DEADLINE_MILLIS, TimeUnit.MILLISECONDS);
        Thread.sleep(DEADLINE_MILLIS);
        return judge();
    }

    private void lookUp(Installation site, Installation.Machine front, int client, boolean leaves) {
        int count = leaves ? REQUESTS_OF_LEAVING : REQUESTS_OF_STAYING;
        List<String> names = new ArrayList<>();
        try (Socket socket = site.connect(front)) {
            ByteArrayOutputStream requests = new ByteArrayOutputStream();
            for (int i = 0; i < count; i++) {
                String name = "lookup-" + client + "-" + i;
                names.add(name);
                record.line("send %s", name);
                requests.writeBytes(("GET /p/" + name + " HTTP/1.1\r\nHost: lookups.example\r\nRequest-Id: " + name
                                + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
            }
            socket.getOutputStream().write(requests.toByteArray());
            if (leaves && trouble) {
                Thread.sleep(LEAVE_AFTER_MILLIS);
                socket.close();
                long closed = System.nanoTime();
                names.forEach(name -> closedNanos.put(name, closed));
                record.line("client %d closed its connection", client);
                return;
            }
            InputStream in = Http.buffered(socket.getInputStream());
            for (String name : names) {
                Http.Message answer = Http.read(in);
                statuses.merge("status " + answer.status(), 1, Integer::sum);
                record.line("answer %s %d", name, answer.status());
            }
        } catch (IOException | InterruptedException failure) {
            statuses.merge(failure.toString(), 1, Integer::sum);
            record.line("client %d: %s", client, failure);
        }
    }

    private int judge() {
        int late = 0;
        double latest = 0;
        for (Map.Entry<String, Long> closed : closedNanos.entrySet()) {
            Long began = beganNanos.get(closed.getKey());
            double after = began == null ? 0 : (began - closed.getValue()) / 1e6;
            if (after > LATE_AFTER_MILLIS + MEASURING_MILLIS) {
                late++;
                latest = Math.max(latest, after);
                record.line("late %s began %.0f ms after its client had left", closed.getKey(), after);
            }
        }
        record.say("answers of the clients that stayed: %s", new TreeMap<>(statuses));
        record.say(
                "%d of %d requests of clients that had left reached a target over 0.5 s later, the last after %.0f ms",
                late, closedNanos.size(), latest);
        return late > A_FEW ? 1 : 0;
    }
}
