package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator raises max_header_bytes. Clients that keep their connections then send heads that the new limit allows.
 * Without trouble the higher limit is in force from the start.
 */
final class RaisedLimit {

    private static final int CLIENTS = 20;
    private static final int OLD_LIMIT = 16_384;
    private static final int NEW_LIMIT = 32_768;
    private static final int FIELD_BYTES = 6_000;
    private static final int APPLY_MILLIS = 2000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Site site = new Site(Path.of(arguments[0]))) {
            site.new Target("127.0.0.11", "zone-0", "issuer", "i-issuer", 98);
            site.new Target("127.0.0.12", "zone-1", "tracker", "i-tracker", 73);
            site.new Node("127.0.0.11", "zone-0", "issuer");
            site.new Node("127.0.0.12", "zone-1", "tracker");
            site.store.put("op/config", configuration(1, trouble ? OLD_LIMIT : NEW_LIMIT));
            for (Site.Node node : site.nodes) {
                node.start();
            }
            site.awaitReady();
            site.sleep(4000);
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                sockets.add(site.nodes.get(i % 2).connect());
            }
            // Each client uses its connection every 2 s; idle_timeout_ms is 15,000.
            if (round(site, sockets, "a", 200) < CLIENTS) {
                System.exit(2);
            }
            site.store.put("op/config", configuration(2, NEW_LIMIT));
            site.log("the store has acknowledged r2, max_header_bytes " + NEW_LIMIT);
            site.sleep(2000);
            round(site, sockets, "b", 200);
            site.sleep(APPLY_MILLIS + 1000);
            int served = round(site, sockets, "c", 3 * FIELD_BYTES);
            String result = served + " of " + CLIENTS + " heads of some " + 3 * FIELD_BYTES
                    + " bytes, sent later than " + APPLY_MILLIS + " ms after the ack, were served";
            site.log(result);
            System.out.println(result);
            // DENIED: more than 5 + one in 500 of all requests.
            System.exit(CLIENTS - served > 5 + 3 * CLIENTS / 500 ? Site.BROKEN : 0);
        }
    }

    /** Sends a request on each connection; returns how many are answered with success. */
    private static int round(Site site, List<Socket> sockets, String name, int bytes) {
        int served = 0;
        for (int i = 0; i < sockets.size(); i++) {
            String id = name + i;
            try {
                Socket socket = sockets.get(i);
                socket.setSoTimeout(4000);
                StringBuilder head = new StringBuilder("GET /s/" + i + "/5/10 HTTP/1.1\r\nHost: bill.example\r\nRequest-Id: "
                        + id + "\r\nDeadline-Ms: 3000\r\n");
                for (int field = 0; bytes > FIELD_BYTES && field < bytes / FIELD_BYTES; field++) {
                    head.append("X-Note-").append(field).append(": ").append("n".repeat(FIELD_BYTES)).append("\r\n");
                }
                head.append("\r\n");
                socket.getOutputStream().write(head.toString().getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
                Site.Message answer = Site.read(new BufferedInputStream(socket.getInputStream()));
                site.log("client sends " + id + ", a head of " + head.length() + " bytes, and gets " + answer.status());
                served += answer.status() == 200 ? 1 : 0;
            } catch (IOException failure) {
                site.log("client gets no answer for " + id + ": " + failure);
            }
        }
        return served;
    }

    private static String configuration(int version, int limit) {
        return Site.configuration(
                        version,
                        List.of(Site.route("r-1", "bill.example", "/s/", "safe", "tracker", 5000)),
                        List.of("tracker", "issuer"))
                .replace("\"max_header_bytes\":16384", "\"max_header_bytes\":" + limit);
    }
}
