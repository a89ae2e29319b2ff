package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The operator writes large configurations in quick succession (config_storm), each within the store's value_bytes.
 * With trouble, a part of the store's answers is lost meanwhile (platform_lost). Later, when the store has been calm for
 * longer than contact_ms, a version moves a route to another service, and requests show which version each node uses.
 */
final class ConfigStorm {

    /** Bytes of a configuration; the store takes values of up to value_bytes = 1,048,576. */
    private static final int CONFIGURATION_BYTES = Integer.getInteger("size", 1_000_000);

    /** The largest storm of the site tengri-almaty: for_s = 4.84, gap_s = 0.307. */
    private static final int STORM_MILLIS = 4840;

    private static final int GAP_MILLIS = 307;

    /** The largest loss of the sites: x = 0.35, for_s = 4.5. */
    private static final double LOST_SHARE = 0.35;

    private static final int LOST_MILLIS = 4500;

    private static final int CONTACT_MILLIS = 3000;
    private static final int APPLY_MILLIS = 2000;
    private static final int NODES = 3;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Site site = new Site(Path.of(arguments[0]))) {
            String[] services = {"issuer", "tracker", "parties"};
            for (int i = 0; i < NODES; i++) {
                site.new Target("127.0.0." + (11 + i), "zone-" + i, services[i], "i-" + services[i], 73);
                site.new Node("127.0.0." + (11 + i), "zone-" + i, services[i]);
            }
            int version = 1;
            site.store.put("op/config", configuration(version, "tracker"));
            for (Site.Node node : site.nodes) {
                node.start();
            }
            site.awaitReady();
            site.sleep(5000);
            if (ask(site, "start").size() < NODES) {
                site.log("not all nodes serve before the storm");
                System.exit(2);
            }
            long storm = System.nanoTime();
            site.store.lostShare = trouble ? LOST_SHARE : 0;
            site.log("the storm begins" + (trouble ? ", the store loses answers" : ""));
            for (long at = 0; at < STORM_MILLIS; at += GAP_MILLIS) {
                site.sleep(Math.max(0, at - (System.nanoTime() - storm) / 1_000_000));
                if (at >= LOST_MILLIS) {
                    site.store.lostShare = 0;
                }
                site.store.put("op/config", configuration(++version, "tracker"));
                site.log("the store has acknowledged r" + version);
            }
            site.store.lostShare = 0;
            site.log("the storm is over, the store answers every call");
            site.sleep(CONTACT_MILLIS + 1000);
            site.store.put("op/config", configuration(++version, "parties"));
            double acknowledged = site.seconds();
            site.log("the store has acknowledged r" + version + ", which moves the route from tracker to parties");
            site.sleep(APPLY_MILLIS);
            int old = 0;
            int served = 0;
            double lastOld = 0;
            for (int round = 0; round < 24; round++) {
                for (String target : ask(site, "r" + round)) {
                    served++;
                    if (target.equals("i-tracker")) {
                        old++;
                        lastOld = site.seconds() - acknowledged;
                    }
                }
                site.sleep(500);
            }
            String result = String.format(
                    Locale.ROOT,
                    "of %d requests served later than %d ms after the ack, %d ran at the old service, the last %.1f s after it",
                    served,
                    APPLY_MILLIS,
                    old,
                    lastOld);
            site.log(result);
            System.out.println(result);
            System.exit(served == 0 ? 2 : old > 0 ? Site.BROKEN : 0);
        }
    }

    /** Sends a request to each node; returns the targets that ran them. */
    private static List<String> ask(Site site, String round) {
        List<String> targets = new ArrayList<>();
        for (Site.Node node : site.nodes) {
            String id = round + "-" + node.host;
            try (Socket socket = node.connect()) {
                socket.setSoTimeout(3000);
                site.log("client sends " + id + " to node " + node.host);
                socket.getOutputStream().write(Site.get("/s/1/5/10", "bill.example", id, 3000));
                Site.Message answer = Site.read(new BufferedInputStream(socket.getInputStream()));
                site.log("client gets " + answer.status() + " for " + id);
                if (answer.status() == 200) {
                    site.runs.stream().filter(run -> run.id.equals(id)).forEach(run -> targets.add(run.target));
                }
            } catch (IOException failure) {
                site.log("client gets no answer for " + id + ": " + failure);
            }
        }
        return targets;
    }

    /** A configuration with one route that requests use, and as many others as fill it. */
    private static String configuration(int version, String service) {
        List<String> listeners = new ArrayList<>();
        listeners.add(Site.route("r-main", "bill.example", "/s/", "safe", service, 5000));
        int length = 1000;
        for (int i = 0; length < CONFIGURATION_BYTES - 400; i++) {
            String more = Site.route("r-more" + i, "more.example", "/more" + i + "/", "safe", "issuer", 5000);
            length += more.length() + 1;
            listeners.add(more);
        }
        String text = Site.configuration(version, listeners, List.of("tracker", "issuer", "parties"));
        if (text.length() > 1_048_576) {
            throw new IllegalStateException("larger than value_bytes: " + text.length());
        }
        return text;
    }
}
