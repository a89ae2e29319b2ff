package review;

import java.io.BufferedInputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;

/**
 * A target spoils the status lines of a few of its answers: a digit is missing. With trouble, a part of its answers begin
 * with "HTTP/1.1 20 OK".
 */
final class SpoiltStatus {

    /** The largest dose of garble in the sites: x = 0.05. */
    private static final int ONE_IN = 20;

    private static final int REQUESTS = 400;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Site site = new Site(Path.of(arguments[0]))) {
            Site.Target spoiling = site.new Target("127.0.0.11", "zone-0", "tracker", "i-tracker", 73);
            site.new Target("127.0.0.12", "zone-1", "issuer", "i-issuer", 98);
            if (trouble) {
                spoiling.statusLine = run -> Integer.parseInt(run.id.substring(1)) % ONE_IN == 7 ? "20 OK" : "200 OK";
            }
            site.new Node("127.0.0.11", "zone-0", "tracker");
            site.new Node("127.0.0.12", "zone-1", "issuer");
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
            int noAnswer = 0;
            int success = 0;
            int own = 0;
            for (int i = 0; i < REQUESTS; i++) {
                String id = "s" + i;
                try (Socket socket = site.nodes.getFirst().connect()) {
                    socket.setSoTimeout(6000);
                    site.log("client sends " + id);
                    socket.getOutputStream().write(Site.get("/s/" + i + "/10/200", "bill.example", id, 5000));
                    Site.Message answer = Site.read(new BufferedInputStream(socket.getInputStream()));
                    site.log("client gets \"" + answer.line() + "\" for " + id + ", Response-Seal "
                            + answer.field("Response-Seal"));
                    // RFC 9112, section 4: a status code has three digits.
                    if (!answer.line().matches("HTTP/1\\.1 [1-5]\\d\\d( .*)?")) {
                        noAnswer++;
                    } else if (answer.status() == 200) {
                        success++;
                    } else {
                        own++;
                    }
                }
            }
            String result = "of " + REQUESTS + " requests, " + success + " got a success, " + own
                    + " another answer, and " + noAnswer + " bytes that are no answer in the protocol";
            site.log(result);
            System.out.println(result);
            System.exit(success == 0 ? 2 : noAnswer > 0 ? Site.BROKEN : 0);
        }
    }
}
