package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients send four safe requests each before the first is answered. The first one is long. With trouble, the machine
 * gets SIGTERM a second before. Its node is there until shortly before the end of grace_s, but the long requests last
 * longer.
 */
final class StopBehindLong {

    private static final int CLIENTS = 4;
    private static final int REQUESTS = 4;
    private static final int GRACE_MILLIS = 6000;

    /** Within the deadline and the route's timeout of 5,000 ms. */
    private static final int LONG_MILLIS = 4700;

    private static final int SHORT_MILLIS = 50;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Site site = new Site(Path.of(arguments[0]))) {
            site.new Target("127.0.0.11", "zone-0", "issuer", "i-issuer", 98);
            site.new Target("127.0.0.12", "zone-1", "tracker", "i-tracker", 73);
            Site.Node entry = site.new Node("127.0.0.11", "zone-0", "issuer");
            site.new Node("127.0.0.12", "zone-1", "tracker");
            site.store.put(
                    "op/config",
                    Site.configuration(
                            1,
                            List.of(Site.route("r-1", "bill.example", "/s/", "safe", "tracker", 5000)),
                            List.of("tracker", "issuer")));
            for (Site.Node node : site.nodes) {
                node.start();
            }
            site.awaitReady();
            site.sleep(4000);
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                sockets.add(entry.connect());
            }
            long begin = System.nanoTime();
            if (trouble) {
                entry.endExpected = true;
                entry.signal("TERM");
            }
            site.sleep(1000);
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int client = i;
                threads.add(Thread.startVirtualThread(() -> client(site, sockets.get(client), client)));
            }
            // The platform kills the process that is left at the end of grace_s.
            site.sleep(GRACE_MILLIS - (System.nanoTime() - begin) / 1_000_000);
            if (trouble) {
                site.log("end of grace_s, the process is " + (entry.process.isAlive() ? "still there" : "gone"));
                entry.process.destroyForcibly();
            }
            for (Thread thread : threads) {
                thread.join();
            }
            int lost = 0;
            int answered = 0;
            for (Site.Run run : site.runs) {
                boolean got = site.ends.containsKey(run.id);
                answered += got ? 1 : 0;
                // The first of each client is excused: its target was still at work in the last sixth of grace_s.
                if (!got && !run.id.endsWith("-0") && run.how.equals("done")) {
                    lost++;
                    site.log("lost: " + run.id + " ran from " + run.startedAt + " to " + run.endedAt);
                }
            }
            String result = "of " + CLIENTS * REQUESTS + " requests, " + site.runs.size() + " ran and " + answered
                    + " were answered; short ones that were done, whose connection ended without their answer: " + lost;
            site.log(result);
            System.out.println(result);
            System.exit(site.runs.size() < CLIENTS * REQUESTS ? 2 : lost > 0 ? Site.BROKEN : 0);
        }
    }

    private static void client(Site site, Socket socket, int client) {
        try (socket) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int i = 0; i < REQUESTS; i++) {
                all.writeBytes(Site.get(
                        "/s/" + i + "/" + (i == 0 ? LONG_MILLIS : SHORT_MILLIS) + "/100", "bill.example", client + "-" + i, 5000));
            }
            socket.getOutputStream().write(all.toByteArray());
            site.log("client " + client + " has sent " + REQUESTS + " requests");
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 0; i < REQUESTS; i++) {
                Site.Message answer = Site.read(in);
                site.log("client gets " + answer.status() + " for " + answer.field("Request-Id"));
                site.ends.put(answer.field("Request-Id"), answer.line());
            }
        } catch (IOException ended) {
            site.log("the connection of client " + client + " has ended: " + ended);
        }
    }
}
