package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The configuration allows heads of 32,768 bytes. With trouble, a node's process is killed and started again; its clients
 * connect as soon as it listens, and keep their connections. Later they send heads that the configuration allows.
 */
final class EarlyConnections {

    private static final int CLIENTS = 20;
    private static final int LIMIT = 32_768;
    private static final int FIELD_BYTES = 6_000;
    private static final int FIELDS = 3;
    private static final int CONTACT_MILLIS = 3000;
    private static final int CONNECT_MILLIS = 10_000;

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
                                    List.of("tracker", "issuer"))
                            .replace("\"max_header_bytes\":16384", "\"max_header_bytes\":" + LIMIT));
            for (Site.Node node : site.nodes) {
                node.start();
            }
            site.awaitReady();
            site.sleep(4000);
            if (trouble) {
                entry.signal("KILL");
                entry.endExpected = true;
                entry.process.waitFor();
                site.sleep(500);
                entry.start();
            }
            Socket[] sockets = new Socket[CLIENTS];
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int client = i;
                threads.add(Thread.startVirtualThread(() -> sockets[client] = connect(site, entry)));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            int small = round(site, sockets, "a", 0);
            site.log("of the first requests on these connections " + small + " were served");
            site.awaitReady();
            site.sleep(CONTACT_MILLIS + 1000);
            int served = round(site, sockets, "b", 0);
            int large = round(site, sockets, "c", FIELDS);
            String result = served + " of " + CLIENTS + " requests with small heads were served, and " + large + " of " + CLIENTS
                    + " with heads of some " + FIELDS * FIELD_BYTES + " bytes, later than " + CONTACT_MILLIS
                    + " ms after the start";
            site.log(result);
            System.out.println(result);
            // DENIED: more than 5 + one in 500 of all requests.
            System.exit(served < CLIENTS ? 2 : CLIENTS - large > 5 + 3 * CLIENTS / 500 ? Site.BROKEN : 0);
        }
    }

    /** Connects as soon as the node listens. */
    private static Socket connect(Site site, Site.Node entry) {
        long until = System.nanoTime() + CONNECT_MILLIS * 1_000_000L;
        while (System.nanoTime() < until) {
            try {
                return entry.connect();
            } catch (IOException notYet) {
                site.sleep(10);
            }
        }
        throw new IllegalStateException("no connection");
    }

    /** Sends a request on each connection; returns how many are answered with success. */
    private static int round(Site site, Socket[] sockets, String name, int fields) {
        int served = 0;
        for (int i = 0; i < sockets.length; i++) {
            String id = name + i;
            try {
                sockets[i].setSoTimeout(4000);
                StringBuilder head = new StringBuilder("GET /s/" + i + "/5/10 HTTP/1.1\r\nHost: bill.example\r\nRequest-Id: "
                        + id + "\r\nDeadline-Ms: 3000\r\n");
                for (int field = 0; field < fields; field++) {
                    head.append("X-Note-").append(field).append(": ").append("n".repeat(FIELD_BYTES)).append("\r\n");
                }
                head.append("\r\n");
                sockets[i].getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
                Site.Message answer = Site.read(new BufferedInputStream(sockets[i].getInputStream()));
                site.log("client sends " + id + ", a head of " + head.length() + " bytes, and gets " + answer.status());
                served += answer.status() == 200 ? 1 : 0;
            } catch (IOException failure) {
                site.log("client gets no answer for " + id + ": " + failure);
            }
        }
        return served;
    }
}
