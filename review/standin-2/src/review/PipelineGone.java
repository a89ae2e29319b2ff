package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Ten clients send safe requests before the first is answered. With trouble, three of them, which have sent many on one
 * connection, give up and close their connections 300 ms later; without it all stay and read all answers.
 */
final class PipelineGone {

    /** The clients that may leave: 0.3 of all, the largest share of give_up in the sites. */
    private static final int CLIENTS = 3;

    private static final int ALL_CLIENTS = 10;
    private static final int WORK_MILLIS = 2500;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int depth = Integer.getInteger("depth", 80);
        try (Site site = new Site(Path.of(arguments[0]))) {
            site.new Target("127.0.0.12", "b", "tracker", "i-far", 400);
            site.new Target("127.0.0.11", "a", "issuer", "i-near", 400);
            Site.Node entry = site.new Node("127.0.0.11", "a", "issuer");
            Site.Node other = site.new Node("127.0.0.12", "b", "tracker");
            site.store.put(
                    "op/config",
                    Site.configuration(
                            1,
                            List.of(Site.route("r-1", "bill.example", "/s/", "safe", "tracker", 10_000)),
                            List.of("tracker", "issuer")));
            entry.start();
            other.start();
            site.awaitReady();
            warmUp(site, entry);
            site.sleep(4000);
            site.runs.clear();
            List<Thread> threads = new ArrayList<>();
            for (int c = CLIENTS; c < ALL_CLIENTS; c++) {
                int client = c;
                threads.add(Thread.startVirtualThread(() -> stay(site, entry, client)));
            }
            double[] closed = new double[CLIENTS];
            int[] answered = new int[CLIENTS];
            for (int c = 0; c < CLIENTS; c++) {
                int client = c;
                threads.add(Thread.startVirtualThread(() -> {
                    try (Socket socket = entry.connect()) {
                        ByteArrayOutputStream all = new ByteArrayOutputStream();
                        for (int i = 0; i < depth; i++) {
                            all.write(Site.get("/s/" + i + "/" + WORK_MILLIS + "/100", "bill.example", "c" + client + "-" + i, 10_000));
                        }
                        socket.getOutputStream().write(all.toByteArray());
                        site.log("client " + client + " has sent " + depth + " requests");
                        if (trouble) {
                            site.sleep(300);
                            socket.close();
                            closed[client] = site.seconds();
                            site.log("client " + client + " has closed its connection");
                        } else {
                            InputStream in = new BufferedInputStream(socket.getInputStream());
                            for (int i = 0; i < depth; i++) {
                                Site.Message answer = Site.read(in);
                                if (answer.status() == 200 && ("c" + client + "-" + i).equals(answer.field("Request-Id"))) {
                                    answered[client]++;
                                }
                            }
                            closed[client] = site.seconds();
                            site.log("client " + client + " has got " + answered[client] + " whole answers");
                        }
                    } catch (Exception failure) {
                        site.log("client " + client + " fails: " + failure);
                    }
                }));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            site.sleep(6000);
            int long_ = 0;
            int atWork = 0;
            int late = 0;
            for (Site.Run run : site.runs) {
                if (!run.id.startsWith("c")) {
                    continue;
                }
                double close = closed[run.id.charAt(1) - '0'];
                if (run.startedAt > close + 0.5) {
                    late++;
                } else if (run.startedAt + WORK_MILLIS / 1000.0 > close + 0.5) {
                    long_++;
                    if (run.endedAt < 0 || run.endedAt > close + 0.5) {
                        atWork++;
                    }
                }
            }
            boolean broken = late > 5 || atWork * 4 > long_;
            String result = "reached a target over 0.5 s after the close: " + late
                    + "; would have lasted so long: " + long_ + ", still at work then: " + atWork
                    + "; answered whole: " + (answered[0] + answered[1] + answered[2]) + " of " + CLIENTS * depth;
            site.log(result);
            System.out.println(result);
            boolean unanswered = !trouble && answered[0] + answered[1] + answered[2] < CLIENTS * depth;
            System.exit(unanswered ? 2 : trouble && broken ? Site.BROKEN : 0);
        }
    }

    /** A client that stays, with four requests on its connection. */
    private static void stay(Site site, Site.Node entry, int client) {
        try (Socket socket = entry.connect()) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 0; i < 4; i++) {
                socket.getOutputStream().write(Site.get("/s/" + i + "/" + WORK_MILLIS + "/100", "bill.example", "stays" + client + "-" + i, 10_000));
            }
            for (int i = 0; i < 4; i++) {
                Site.read(in);
            }
            site.log("client " + client + ", which stays, has got its answers");
        } catch (Exception failure) {
            site.log("client " + client + ", which stays, fails: " + failure);
        }
    }

    /** Lets the nodes serve for some seconds, so that a slow start of theirs is not mistaken for the fault. */
    private static void warmUp(Site site, Site.Node entry) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int t = 0; t < 8; t++) {
            int thread = t;
            threads.add(Thread.startVirtualThread(() -> {
                try (Socket socket = entry.connect()) {
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    for (int i = 0; i < 300; i++) {
                        socket.getOutputStream().write(Site.get("/s/" + i + "/1/100", "bill.example", "w" + thread + "-" + i, 10_000));
                        Site.read(in);
                    }
                } catch (Exception failure) {
                    site.log("warm-up fails: " + failure);
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
