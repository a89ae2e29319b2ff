package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: kv-range and kv-watch, all items on one page. Thread safe. */
final class Store implements AutoCloseable {

    private final ServerSocket server = new ServerSocket();
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private long revision = 1;

    Store(String host, int port) throws IOException {
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host, port), 200);
        Thread.ofVirtual().start(this::accept);
    }

    synchronized void put(String key, String value) {
        put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void put(String key, byte[] value) {
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", key);
        item.put("value", Base64.getEncoder().encodeToString(value));
        item.put("revision", ++revision);
        item.put("created_rev", items.containsKey(key) ? items.get(key).get("created_rev") : revision);
        item.put("lease", 0);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            history.add(Map.of("key", key, "revision", ++revision, "tombstone", true));
            notifyAll();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The end of the case.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            while (true) {
                Http.Message request = Http.read(in);
                String body = answer(request.target());
                socket.getOutputStream()
                        .write(Http.message(
                                "HTTP/1.1 200 OK",
                                Map.of("Content-Type", "application/json"),
                                body.getBytes(StandardCharsets.UTF_8)));
            }
        } catch (IOException | InterruptedException ended) {
            // The node closed the connection.
        }
    }

    private synchronized String answer(String target) throws InterruptedException {
        Map<String, String> query = query(target);
        String prefix = query.getOrDefault("prefix", "");
        if (target.startsWith("/-/kv-range")) {
            List<Object> page = new ArrayList<>();
            items.forEach((key, item) -> {
                if (key.startsWith(prefix) && key.compareTo(query.getOrDefault("after", "")) > 0) {
                    page.add(item);
                }
            });
            return Json.of(Map.of("items", page, "truncated", false, "as_of", revision));
        }
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        List<Object> events = events(prefix, after);
        while (events.isEmpty() && until - System.nanoTime() > 0) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            events = events(prefix, after);
        }
        return Json.of(Map.of("events", events, "as_of", revision));
    }

    private List<Object> events(String prefix, long after) {
        List<Object> events = new ArrayList<>();
        for (Map<String, Object> event : history) {
            if ((long) event.get("revision") > after && event.get("key").toString().startsWith(prefix)) {
                events.add(event);
            }
        }
        return events;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
