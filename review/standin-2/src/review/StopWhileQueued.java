package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The only target of a service is busy: its slots are taken by requests of another machine's clients. With trouble, a
 * machine gets SIGTERM; within the next second its clients send requests for that service, which wait at the target's
 * node. They could be answered within their deadline.
 */
final class StopWhileQueued {

    private static final int SLOTS = 13;
    private static final int WAITING = 10;
    private static final int GRACE_MILLIS = 6000;
    private static final int LOSS_SLACK_MILLIS = 200;
    private static final int DEADLINE_MILLIS = 5000;

    /** Of the requests that take the slots; within the deadline and the route's timeout of 5,000 ms. */
    private static final int LONG_MILLIS = 4900;

    private static final int SHORT_MILLIS = 50;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Site site = new Site(Path.of(arguments[0]))) {
            site.new Target("127.0.0.11", "zone-0", "issuer", "i-issuer", 98);
            site.new Target("127.0.0.12", "zone-1", "manifests", "i-manifests", SLOTS);
            site.new Target("127.0.0.13", "zone-2", "parties", "i-parties", 98);
            Site.Node stopping = site.new Node("127.0.0.11", "zone-0", "issuer");
            site.new Node("127.0.0.12", "zone-1", "manifests");
            Site.Node other = site.new Node("127.0.0.13", "zone-2", "parties");
            site.store.put(
                    "op/config",
                    Site.configuration(
                            1,
                            List.of(Site.route("r-1", "bill.example", "/m/", "non_idempotent", "manifests", DEADLINE_MILLIS)),
                            List.of("manifests", "issuer", "parties")));
            for (Site.Node node : site.nodes) {
                node.start();
            }
            site.awaitReady();
            site.sleep(4000);
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < WAITING; i++) {
                sockets.add(stopping.connect());
            }
            long begin = System.nanoTime();
            if (trouble) {
                stopping.endExpected = true;
                stopping.signal("TERM");
            }
            site.sleep(500);
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < SLOTS; i++) {
                int number = i;
                threads.add(Thread.startVirtualThread(() -> {
                    try (Socket socket = other.connect()) {
                        request(site, socket, "busy-" + number, LONG_MILLIS);
                    } catch (IOException failure) {
                        site.log("busy-" + number + " fails: " + failure);
                    }
                }));
            }
            site.sleep(200);
            double[] sent = new double[WAITING];
            double[] ended = new double[WAITING];
            for (int i = 0; i < WAITING; i++) {
                int number = i;
                threads.add(Thread.startVirtualThread(() -> {
                    sent[number] = site.seconds();
                    try (Socket socket = sockets.get(number)) {
                        request(site, socket, "wait-" + number, SHORT_MILLIS);
                    } catch (IOException failure) {
                        ended[number] = site.seconds();
                        site.log("the connection of wait-" + number + " has ended without an answer: " + failure);
                    }
                }));
            }
            // The platform kills the process that is left at the end of grace_s.
            site.sleep(GRACE_MILLIS - (System.nanoTime() - begin) / 1_000_000);
            if (trouble) {
                site.log("end of grace_s, the process is " + (stopping.process.isAlive() ? "still there" : "gone"));
                stopping.process.destroyForcibly();
            }
            for (Thread thread : threads) {
                thread.join();
            }
            int lost = 0;
            int answered = 0;
            for (int i = 0; i < WAITING; i++) {
                double after = ended[i] - sent[i];
                boolean ran = isRun(site, "wait-" + i);
                answered += ended[i] == 0 ? 1 : 0;
                if (ended[i] > 0 && after > LOSS_SLACK_MILLIS / 1000.0 && after < DEADLINE_MILLIS / 1000.0) {
                    lost++;
                    site.log("lost: wait-" + i + ", " + after + " s after it was sent, " + (ran ? "it ran" : "no target ran it"));
                }
            }
            String result = "of " + WAITING + " requests that waited for a slot, " + answered + " were answered and "
                    + lost + " lost: their connections ended without an answer, later than " + LOSS_SLACK_MILLIS
                    + " ms after they were sent";
            site.log(result);
            System.out.println(result);
            System.exit(answered + lost < WAITING ? 2 : lost > 0 ? Site.BROKEN : 0);
        }
    }

    private static boolean isRun(Site site, String id) {
        return site.runs.stream().anyMatch(run -> run.id.equals(id));
    }

    private static void request(Site site, Socket socket, String id, int millis) throws IOException {
        socket.setSoTimeout(DEADLINE_MILLIS + 5000);
        socket.getOutputStream()
                .write(("POST /m/1/" + millis + "/20 HTTP/1.1\r\nHost: bill.example\r\nRequest-Id: " + id
                                + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nContent-Length: 4\r\n\r\nbill")
                        .getBytes(StandardCharsets.ISO_8859_1));
        site.log("client sends " + id);
        Site.Message answer = Site.read(new BufferedInputStream(socket.getInputStream()));
        site.log("client gets " + answer.status() + " for " + id);
    }
}
