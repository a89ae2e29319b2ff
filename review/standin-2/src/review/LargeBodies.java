package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send uploads of 60,000 bytes to one node on kept connections. With trouble, two of the five targets turn slow for
 * a while.
 */
final class LargeBodies {

    private static final int BODY_BYTES = 60_000;
    private static final int PER_SECOND = 190;
    private static final int SECONDS = 14;
    private static final int WORK_MILLIS = 290;
    private static final int DEADLINE_MILLIS = 5000;
    private static final int TARGETS = 5;
    private static final int SLOTS = 13;

    /** The largest dose of srv_slow in the sites: share = 0.4, x = 12, for_s = 9. */
    private static final int SLOW_TARGETS = 2;

    private static final int SLOWNESS = 12;
    private static final int SLOW_FROM_MILLIS = 3000;
    private static final int SLOW_MILLIS = 9000;

    private final Site site;
    private final Site.Node entry;
    private final ArrayDeque<Socket> kept = new ArrayDeque<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final Set<String> closed = new HashSet<>();
    private final Set<String> unanswered = new HashSet<>();
    private final AtomicInteger beyondTimeout = new AtomicInteger();
    private final AtomicInteger withoutFinalAnswer = new AtomicInteger();

    private LargeBodies(Site site, Site.Node entry) {
        this.site = site;
        this.entry = entry;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Site site = new Site(Path.of(arguments[0]))) {
            site.new Target("127.0.0.11", "zone-0", "issuer", "i-issuer", 98);
            Site.Node entry = site.new Node("127.0.0.11", "zone-0", "issuer");
            List<Site.Target> desks = new ArrayList<>();
            for (int i = 0; i < TARGETS; i++) {
                String host = "127.0.0." + (12 + i);
                desks.add(site.new Target(host, "zone-" + i % 3, "manifests", "i-manifests-" + i, SLOTS));
                site.new Node(host, "zone-" + i % 3, "manifests");
            }
            site.store.put(
                    "op/config",
                    Site.configuration(
                            1,
                            List.of(Site.route("r-1", "bill.example", "/m/", "upload", "manifests", DEADLINE_MILLIS)),
                            List.of("manifests", "issuer")));
            for (Site.Node node : site.nodes) {
                node.start();
            }
            site.awaitReady();
            site.sleep(4000);
            int status = new LargeBodies(site, entry).play(trouble, desks);
            System.exit(status);
        }
    }

    private int play(boolean trouble, List<Site.Target> desks) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        byte[] body = new byte[BODY_BYTES];
        long begin = System.nanoTime();
        int total = PER_SECOND * SECONDS;
        for (int i = 0; i < total; i++) {
            long due = begin + i * 1_000_000_000L / PER_SECOND;
            site.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
            long at = (System.nanoTime() - begin) / 1_000_000;
            int slowness = trouble && at >= SLOW_FROM_MILLIS && at < SLOW_FROM_MILLIS + SLOW_MILLIS ? SLOWNESS : 1;
            if (desks.getFirst().slowness != slowness) {
                site.log(SLOW_TARGETS + " targets work " + slowness + " times as long");
                desks.stream().limit(SLOW_TARGETS).forEach(desk -> desk.slowness = slowness);
            }
            String id = "b" + i;
            threads.add(Thread.startVirtualThread(() -> request(id, body)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        boolean ended = !entry.process.isAlive();
        Set<String> ran = new HashSet<>();
        site.runs.forEach(run -> ran.add(run.id));
        closed.forEach(id -> site.log("closed without an answer: " + id + (ran.contains(id) ? ", which a target ran" : "")));
        Set<String> cut = new HashSet<>(closed);
        cut.retainAll(ran);
        site.log(beyondTimeout + " requests lasted longer than their route's timeout, " + withoutFinalAnswer
                + " of them had no final answer 0.5 s after it");
        String result = "of " + total + " requests, " + served + " got a success, " + refused + " a 503, " + failed
                + " another answer, " + unanswered.size() + " none on an open connection until 3 s after their deadline; "
                + closed.size() + " connections were closed without an answer, " + cut.size()
                + " of them with a request that a target ran; the node " + (ended ? "ended by itself" : "is alive");
        site.log(result);
        System.out.println(result);
        site.log("a small request 10 s later: " + smallRequest());
        if (served.get() == 0) {
            return 2;
        }
        boolean unansweredInTime = withoutFinalAnswer.get() >= 8 && 4 * withoutFinalAnswer.get() > beyondTimeout.get();
        return cut.size() > 3 || ended || unansweredInTime ? Site.BROKEN : 0;
    }

    private void request(String id, byte[] body) {
        Socket socket = take();
        long sent = System.nanoTime();
        try {
            if (socket == null) {
                socket = entry.connect();
            }
            socket.setSoTimeout(DEADLINE_MILLIS + 3000);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /m/1/" + WORK_MILLIS + "/20 HTTP/1.1\r\nHost: bill.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                            + DEADLINE_MILLIS + "\r\nContent-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            site.log("client has sent " + id);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Site.Message answer = Site.read(in);
            long millis = (System.nanoTime() - sent) / 1_000_000;
            beyondTimeout.addAndGet(millis > DEADLINE_MILLIS ? 1 : 0);
            withoutFinalAnswer.addAndGet(millis > DEADLINE_MILLIS + 500 ? 1 : 0);
            (answer.status() == 200 ? served : answer.status() == 503 ? refused : failed).incrementAndGet();
            site.log("client gets " + answer.status() + " for " + id);
            if ("close".equalsIgnoreCase(answer.field("Connection"))) {
                socket.close();
            } else {
                keep(socket);
            }
        } catch (java.net.SocketTimeoutException open) {
            note(unanswered, id, "no answer");
            beyondTimeout.incrementAndGet();
            withoutFinalAnswer.incrementAndGet();
        } catch (IOException ended) {
            note(closed, id, ended.toString());
        }
    }

    /** Sends a request without a body on a new connection, when all others have long been given up. */
    private String smallRequest() {
        site.sleep(10_000);
        try (Socket socket = entry.connect()) {
            socket.setSoTimeout(DEADLINE_MILLIS + 1000);
            socket.getOutputStream().write(Site.get("/m/1/5/20", "bill.example", "small", DEADLINE_MILLIS));
            return Site.read(new BufferedInputStream(socket.getInputStream())).line();
        } catch (IOException failure) {
            return failure.toString();
        }
    }

    private void note(Set<String> ends, String id, String how) {
        synchronized (ends) {
            ends.add(id);
        }
        site.log("client gets no answer for " + id + ": " + how);
    }

    private Socket take() {
        synchronized (kept) {
            return kept.pollLast();
        }
    }

    private void keep(Socket socket) {
        synchronized (kept) {
            kept.addLast(socket);
        }
    }
}
