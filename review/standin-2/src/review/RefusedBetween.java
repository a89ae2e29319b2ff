package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send safe requests with bodies before the first is answered, at a node at which others upload. With trouble, the
 * uploads come in a burst.
 */
final class RefusedBetween {

    private static final int UPLOAD_BYTES = 200_000;
    private static final int UPLOADS_PER_SECOND = 22;
    private static final int UPLOAD_MILLIS = 2000;
    private static final int SLOTS = 150;

    /** The largest dose of burst in trinacria-mesh: x = 1.8, for_s = 20. */
    private static final double BURST = 1.8;

    private static final int SECONDS = 20;
    private static final int DEADLINE_MILLIS = 5000;

    private static final int QUERY_CLIENTS = 60;
    private static final int QUERIES = 20;
    private static final int QUERY_BYTES = 10_000;
    private static final int FIRST_QUERY_MILLIS = 2500;
    private static final int QUERY_MILLIS = 60;
    private static final int QUERY_INTERVAL_MILLIS = 50;
    private static final int CLIENT_INTERVAL_MILLIS = 200;

    private final Site site;
    private final Site.Node entry;
    private final AtomicInteger uploaded = new AtomicInteger();
    private final AtomicInteger uploadsNotServed = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final Set<String> unanswered = ConcurrentHashMap.newKeySet();

    private RefusedBetween(Site site, Site.Node entry) {
        this.site = site;
        this.entry = entry;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Site site = new Site(Path.of(arguments[0]))) {
            site.new Target("127.0.0.11", "zone-0", "media", "i-media", SLOTS);
            site.new Target("127.0.0.12", "zone-1", "tracker", "i-tracker", 193);
            Site.Node entry = site.new Node("127.0.0.11", "zone-0", "media");
            site.new Node("127.0.0.12", "zone-1", "tracker");
            site.store.put(
                    "op/config",
                    Site.configuration(
                            1,
                            List.of(
                                    Site.route("r-1", "bill.example", "/m/", "upload", "media", DEADLINE_MILLIS),
                                    Site.route("r-2", "bill.example", "/s/", "safe", "tracker", DEADLINE_MILLIS)),
                            List.of("media", "tracker")));
            for (Site.Node node : site.nodes) {
                node.start();
            }
            site.awaitReady();
            site.sleep(4000);
            System.exit(new RefusedBetween(site, entry).play(trouble));
        }
    }

    private int play(boolean trouble) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        int perSecond = (int) (UPLOADS_PER_SECOND * (trouble ? BURST : 1));
        site.log(perSecond + " uploads a second");
        Thread uploads = Thread.startVirtualThread(() -> every(perSecond * SECONDS, 1e9 / perSecond, i -> upload("u" + i)));
        site.sleep(3000);
        every(QUERY_CLIENTS, CLIENT_INTERVAL_MILLIS * 1e6, this::query);
        uploads.join();
        site.sleep(DEADLINE_MILLIS + 3000);
        Set<String> lost = new TreeSet<>();
        site.runs.stream().map(run -> run.id).filter(unanswered::contains).forEach(lost::add);
        lost.forEach(id -> site.log("run by a sound target, and its connection closed without an answer: " + id));
        String result = "of " + perSecond * SECONDS + " uploads, " + uploaded + " got a success and " + uploadsNotServed
                + " not; of " + QUERY_CLIENTS * QUERIES + " queries, " + served + " got a success, " + refused + " a 503, "
                + failed + " another answer, " + unanswered.size() + " none, as their connections were closed; " + lost.size()
                + " of these had been passed on to a sound target; the entry node is "
                + (entry.process.isAlive() ? "alive" : "gone");
        site.log(result);
        System.out.println(result);
        return served.get() == 0 ? 2 : lost.size() > 3 ? Site.BROKEN : 0;
    }

    private interface Numbered {
        void start(int number);
    }

    private void every(int count, double nanos, Numbered action) {
        long begin = System.nanoTime();
        for (int i = 0; i < count; i++) {
            int number = i;
            site.sleep(Math.max(0, (long) (begin + i * nanos - System.nanoTime()) / 1_000_000));
            Thread.startVirtualThread(() -> action.start(number));
        }
    }

    private void upload(String id) {
        try (Socket socket = entry.connect()) {
            socket.setSoTimeout(DEADLINE_MILLIS + 5000);
            Thread.startVirtualThread(() -> {
                try {
                    send(socket.getOutputStream(), "/m/1/" + UPLOAD_MILLIS + "/20", id, UPLOAD_BYTES);
                } catch (IOException closed) {
                    // Refused before its body was read.
                }
            });
            int status = Site.read(new BufferedInputStream(socket.getInputStream())).status();
            (status == 200 ? uploaded : uploadsNotServed).incrementAndGet();
        } catch (IOException ended) {
            uploadsNotServed.incrementAndGet();
        }
    }

    private static void send(OutputStream out, String path, String id, int bytes) throws IOException {
        out.write(("POST " + path + " HTTP/1.1\r\nHost: bill.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + DEADLINE_MILLIS
                        + "\r\nContent-Length: " + bytes + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(new byte[bytes]);
    }

    /** Sends its requests in a row, and reads answers until one closes the connection. */
    private void query(int client) {
        AtomicInteger sent = new AtomicInteger();
        int answered = 0;
        try (Socket socket = entry.connect()) {
            socket.setSoTimeout(DEADLINE_MILLIS + 5000);
            Thread.startVirtualThread(() -> {
                try {
                    for (int i = 0; i < QUERIES; i++) {
                        int millis = i == 0 ? FIRST_QUERY_MILLIS : QUERY_MILLIS;
                        sent.incrementAndGet();
                        send(socket.getOutputStream(), "/s/1/" + millis + "/20", id(client, i), QUERY_BYTES);
                        site.sleep(QUERY_INTERVAL_MILLIS);
                    }
                } catch (IOException closed) {
                    // The node has closed the connection.
                }
            });
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (answered < QUERIES) {
                Site.Message answer = Site.read(in);
                String id = id(client, answered++);
                site.log("client gets " + answer.status() + " for " + id + ", Request-Id " + answer.field("Request-Id")
                        + ", Connection " + answer.field("Connection"));
                (answer.status() == 200 ? served : answer.status() == 503 ? refused : failed).incrementAndGet();
            }
        } catch (IOException ended) {
            site.log("the connection of client " + client + " ends after " + answered + " answers and " + sent
                    + " requests sent: " + ended);
            for (int i = answered; i < sent.get(); i++) {
                unanswered.add(id(client, i));
            }
        }
    }

    private static String id(int client, int number) {
        return "q" + client + "-" + number;
    }
}
