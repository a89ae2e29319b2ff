package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A small site on loopback: a platform store, targets, and nodes that are started with the command of the deploy file.
 *
 * <p>The stand-ins follow PROTOCOL.md. Everything that they see goes into a record with the time since the start.
 */
final class Site implements Closeable {

    /** Exit status where a rule was broken; 1 is that of a program that fails. run.sh turns it into 1. */
    static final int BROKEN = 10;

    final long start = System.nanoTime();
    final Path root;
    final Path temporary;
    final PrintWriter record;
    final int port;
    final String storeHost;
    final Store store;
    final List<Node> nodes = new CopyOnWriteArrayList<>();
    final List<Target> targets = new CopyOnWriteArrayList<>();
    Map<String, Object> bounds = new LinkedHashMap<>();

    Site(Path recordFile) throws IOException {
        root = Path.of("").toAbsolutePath();
        temporary = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        storeHost = "127.0.0.200";
        port = freePorts();
        bounds.put("seed_lag_s", 3);
        bounds.put("addr_reuse_s", 2);
        bounds.put("contact_ms", 3000);
        bounds.put("ack_ms", 4000);
        bounds.put("catch_up_s", 4);
        bounds.put("drain_ms", 2000);
        bounds.put("grace_s", 6);
        bounds.put("loss_slack_ms", 200);
        bounds.put("config_apply_ms", 2000);
        bounds.put("rollback_slack_ms", 250);
        bounds.put("max_skew_ms", 5000);
        bounds.put("retry_budget_ratio", 0.2);
        bounds.put("budget_window_s", 10);
        bounds.put("retry_budget_extra", 48);
        bounds.put("recover_s", 15);
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Finds a range of ten ports that are free on every loopback address in use. */
    private int freePorts() throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int first = 20_000 + (int) (Math.random() * 1_000) * 10;
            boolean free = true;
            for (int i = 0; i < 10 && free; i++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.setReuseAddress(true);
                    probe.bind(new InetSocketAddress("0.0.0.0", first + i));
                } catch (IOException taken) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void log(String what) {
        record.printf(Locale.ROOT, "%8.3f %s%n", seconds(), what);
    }

    void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    static String quote(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    // ---- HTTP ----

    /** A message's first line, header fields (lower case) and body. */
    record Message(String line, Map<String, String> fields, byte[] body, int headBytes) {
        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c;
        while ((c = in.read()) != '\n') {
            if (c < 0) {
                throw new EOFException("end after " + line.size() + " bytes of a line");
            }
            line.write(c);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static Message read(InputStream in) throws IOException {
        String line = readLine(in);
        int bytes = line.length() + 2;
        Map<String, String> fields = new HashMap<>();
        for (String field = readLine(in); !field.isEmpty(); field = readLine(in)) {
            bytes += field.length() + 2;
            int colon = field.indexOf(':');
            fields.put(field.substring(0, colon).strip().toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
        }
        byte[] body = new byte[0];
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
                    size > 0;
                    size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16)) {
                whole.write(in.readNBytes(size));
                readLine(in);
            }
            while (!readLine(in).isEmpty()) {}
            body = whole.toByteArray();
        } else if (fields.containsKey("content-length")) {
            int length = Integer.parseInt(fields.get("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("body ends after " + body.length + " of " + length);
            }
        }
        return new Message(line, fields, body, bytes);
    }

    // ---- the platform's store ----

    record Item(String key, byte[] value, long revision, boolean tombstone, long writtenNanos) {

        Item(String key, byte[] value, long revision, boolean tombstone) {
            this(key, value, revision, tombstone, System.nanoTime());
        }

        String json() {
            return tombstone
                    ? "{\"key\":" + quote(key) + ",\"revision\":" + revision + ",\"tombstone\":true}"
                    : "{\"key\":" + quote(key) + ",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                            + "\",\"revision\":" + revision + ",\"created_rev\":" + revision + ",\"lease\":0}";
        }
    }

    /** The platform's metadata store. */
    final class Store {

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Item> history = new ArrayList<>();
        private long revision = 400;
        private long dropped;
        volatile long answerMillis = 4;
        volatile boolean silent;
        volatile double lostShare;
        volatile long historyMillis = 20_000;
        private final java.util.Random luck = new java.util.Random(Long.getLong("seed", 1));
        private final ServerSocket listener = new ServerSocket();

        Store() throws IOException {
            listener.bind(new InetSocketAddress(storeHost, port + 9), 512);
            Thread.startVirtualThread(() -> accept(listener, this::serve));
        }

        synchronized long put(String key, String value) {
            Item item = new Item(key, value.getBytes(StandardCharsets.UTF_8), ++revision, false);
            items.put(key, item);
            history.add(item);
            notifyAll();
            return revision;
        }

        synchronized void remove(String key) {
            items.remove(key);
            history.add(new Item(key, new byte[0], ++revision, true));
            notifyAll();
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Message request = read(in);
                String[] parts = request.line().split(" ")[1].split("\\?", 2);
                Map<String, String> query = new HashMap<>();
                if (parts.length > 1) {
                    for (String pair : parts[1].split("&")) {
                        String[] sides = pair.split("=", 2);
                        query.put(sides[0], URLDecoder.decode(sides.length > 1 ? sides[1] : "", StandardCharsets.UTF_8));
                    }
                }
                sleep(answerMillis);
                String body = parts[0].equals("/-/kv-watch") ? watch(query) : range(query);
                while (silent) {
                    sleep(20);
                }
                if (luck.nextDouble() < lostShare) {
                    log("store loses its answer to " + socket.getRemoteSocketAddress());
                    while (in.read() >= 0) {}
                    return;
                }
                boolean gone = body.isEmpty();
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                OutputStream out = socket.getOutputStream();
                out.write(("HTTP/1.1 " + (gone ? "410 Gone" : "200 OK") + "\r\nContent-Type: application/json\r\nContent-Length: "
                                + bytes.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes);
                out.flush();
            }
        }

        private synchronized String range(Map<String, String> query) {
            String prefix = query.getOrDefault("prefix", "");
            String after = query.getOrDefault("after", "");
            StringBuilder json = new StringBuilder("{\"items\":[");
            int count = 0;
            int bytes = 0;
            boolean truncated = false;
            for (Item item : items.values()) {
                if (!item.key().startsWith(prefix) || item.key().compareTo(after) <= 0 && !after.isEmpty()) {
                    continue;
                }
                if (count == 500 || count > 0 && bytes + item.value().length > 1_000_000) {
                    truncated = true;
                    break;
                }
                json.append(count++ == 0 ? "" : ",").append(item.json());
                bytes += item.value().length;
            }
            return json.append("],\"truncated\":" + truncated + ",\"as_of\":" + revision + "}").toString();
        }

        private synchronized String watch(Map<String, String> query) {
            long after = Long.parseLong(query.get("after"));
            long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
            while (revision <= after && System.nanoTime() < until) {
                try {
                    wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                } catch (InterruptedException interrupted) {
                    throw new IllegalStateException(interrupted);
                }
            }
            while (!history.isEmpty() && System.nanoTime() - history.getFirst().writtenNanos() > historyMillis * 1_000_000) {
                dropped = history.removeFirst().revision();
            }
            if (after < dropped) {
                return "";
            }
            StringBuilder json = new StringBuilder("{\"events\":[");
            boolean first = true;
            for (Item item : history) {
                if (item.revision() > after) {
                    json.append(first ? "" : ",").append(item.json());
                    first = false;
                }
            }
            return json.append("],\"as_of\":" + revision + "}").toString();
        }
    }

    interface Serving {
        void serve(Socket socket) throws IOException;
    }

    static void accept(ServerSocket listener, Serving serving) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Thread.startVirtualThread(() -> {
                    try (socket) {
                        serving.serve(socket);
                    } catch (IOException | RuntimeException ended) {
                        // The other side has left.
                    }
                });
            } catch (IOException closed) {
                return;
            }
        }
    }

    // ---- targets ----

    /** What a target saw of one request. */
    static final class Run {
        final String id;
        final String target;
        final String line;
        final String caller;
        final double startedAt;
        volatile double endedAt = -1;
        volatile String how = "at work";

        Run(String id, String target, String line, String caller, double startedAt) {
            this.id = id;
            this.target = target;
            this.line = line;
            this.caller = caller;
            this.startedAt = startedAt;
        }
    }

    final List<Run> runs = new CopyOnWriteArrayList<>();

    /** A target: runs each request for the time that its path names (/…/MILLIS/BYTES), and answers with that many bytes. */
    final class Target implements Closeable {

        final String host;
        final String zone;
        final String service;
        final String id;
        final int slots;
        final ServerSocket listener = new ServerSocket();
        final AtomicInteger sequence = new AtomicInteger();
        volatile boolean beating = true;
        volatile String state = "ready";

        /** How many times as long the target works on a request. */
        volatile int slowness = 1;

        /** Status and reason of the answer to a run; a faulty target spoils some of them. */
        volatile java.util.function.Function<Run, String> statusLine = _ -> "200 OK";

        Target(String host, String zone, String service, String id, int slots) throws IOException {
            this.host = host;
            this.zone = zone;
            this.service = service;
            this.id = id;
            this.slots = slots;
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(host, port + 1), 1024);
            Thread.startVirtualThread(() -> accept(listener, this::serve));
            publish();
            Thread.startVirtualThread(() -> {
                while (beating) {
                    sleep(1500);
                    if (beating) {
                        publish();
                    }
                }
            });
            targets.add(this);
        }

        void publish() {
            store.put(
                    "servers/" + id,
                    "{\"service\":" + quote(service) + ",\"address\":" + quote(host + ":" + (port + 1)) + ",\"zone\":"
                            + quote(zone) + ",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":" + quote(state)
                            + ",\"warmup_left_ms\":0,\"sequence\":" + sequence.incrementAndGet() + "}");
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message request = read(in);
                String path = request.line().split(" ")[1];
                if (path.equals("/health")) {
                    answer(out, "200 OK", "Instance-Id: " + id + "\r\n", new byte[0]);
                } else if (request.field("Target-Instance") != null && !request.field("Target-Instance").equals(id)) {
                    answer(out, "421 Misdirected Request", "Instance-Id: " + id + "\r\n", new byte[0]);
                } else {
                    run(socket, in, out, request, path);
                }
            }
        }

        private void run(Socket socket, InputStream in, OutputStream out, Message request, String path)
                throws IOException {
            Run run = new Run(request.field("Request-Id"), id, request.line(), request.field("Caller-Service"), seconds());
            runs.add(run);
            log("target " + id + " runs " + run.id + " " + request.line() + " deadline=" + request.field("Deadline-Ms"));
            String[] parts = path.split("\\?")[0].split("/");
            int millis = Integer.parseInt(parts[parts.length - 2]) * slowness;
            int bytes = Integer.parseInt(parts[parts.length - 1]);
            // Drops a request when its connection closes, as most targets do.
            long until = System.nanoTime() + millis * 1_000_000L;
            while (System.nanoTime() < until) {
                socket.setSoTimeout((int) Math.max(1, Math.min(50, (until - System.nanoTime()) / 1_000_000)));
                in.mark(1);
                try {
                    int next = in.read();
                    if (next < 0) {
                        end(run, "dropped, its connection was closed");
                        throw new EOFException();
                    }
                    in.reset();
                    sleep(5);
                } catch (java.net.SocketTimeoutException quiet) {
                    // No close so far.
                } catch (EOFException closed) {
                    throw closed;
                } catch (IOException reset) {
                    end(run, "dropped, its connection was reset");
                    throw reset;
                }
            }
            socket.setSoTimeout(0);
            byte[] body = body(run.id, bytes);
            end(run, "done");
            answer(out, statusLine.apply(run), "Request-Id: " + run.id + "\r\nResponse-Seal: " + seal(run.id, bytes) + "\r\n", body);
        }

        private void end(Run run, String how) {
            run.endedAt = seconds();
            run.how = how;
            log("target " + id + " ends " + run.id + ": " + how);
        }

        private void answer(OutputStream out, String status, String fields, byte[] body) throws IOException {
            out.write(("HTTP/1.1 " + status + "\r\n" + fields + "Keep-Alive: timeout=10\r\nContent-Length: " + body.length
                            + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
        }

        @Override
        public void close() {
            beating = false;
            try {
                listener.close();
            } catch (IOException ignored) {
                // Closed anyway.
            }
        }
    }

    static String seal(String id, int bytes) {
        return Integer.toHexString((id + bytes).hashCode()) + "." + bytes;
    }

    static byte[] body(String id, int bytes) {
        byte[] body = new byte[bytes];
        byte[] name = id.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes; i++) {
            body[i] = name[i % name.length];
        }
        return body;
    }

    // ---- nodes ----

    /** A node, started with the command of the deploy file. */
    final class Node {

        final String host;
        final String zone;
        final String service;
        Process process;
        private int starts;
        volatile boolean endExpected;

        Node(String host, String zone, String service) {
            this.host = host;
            this.zone = zone;
            this.service = service;
            nodes.add(this);
        }

        void start() throws IOException {
            Path settings = temporary.resolve("node-" + host + ".json");
            Files.writeString(settings, settings());
            String line = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                    .filter(each -> each.startsWith("run = "))
                    .findFirst()
                    .orElseThrow();
            List<String> command = Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("CARAWAYSILL_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(temporary.resolve("node-" + host + "-" + ++starts + ".log").toFile());
            endExpected = false;
            Process started = builder.start();
            process = started;
            log("node " + host + " starts, process " + started.pid());
            started.onExit().thenAccept(ended -> {
                if (!endExpected) {
                    log("node " + host + " ENDED BY ITSELF, exit code " + ended.exitValue());
                }
            });
        }

        String settings() {
            StringBuilder json = new StringBuilder("{\"node_name\":" + quote("sidecar-" + host)
                    + ",\"role\":\"node\",\"machine_class\":\"sidecar\",\"serves\":[\"sidecar\"],\"ip\":" + quote(host)
                    + ",\"zone\":" + quote(zone) + ",\"region\":\"palermo\",\"listen\":{\"inbound\":"
                    + quote(host + ":" + (port + 3)) + ",\"outbound\":" + quote(host + ":" + (port + 4))
                    + ",\"ready_addr\":" + quote(host + ":" + (port + 2)) + "},\"port_range\":[" + (port + 5) + ","
                    + (port + 8) + "],\"seeds\":[],\"bootstrap\":true,\"loss_counts\":false,"
                    + "\"limits\":{\"cpu_share\":0.6,\"cores\":2,\"memory_mb\":430,\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},"
                    + "\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"static\",\"heartbeat_ms\":1500,"
                    + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"pressure\",\"platform\"],"
                    + "\"fault_tolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},\"bounds\":{");
            boolean first = true;
            for (Map.Entry<String, Object> bound : bounds.entrySet()) {
                json.append(first ? "" : ",").append(quote(bound.getKey())).append(':').append(bound.getValue());
                first = false;
            }
            return json.append("},\"app_addr\":" + quote(host + ":" + (port + 1)) + ",\"service\":" + quote(service)
                            + ",\"platform\":{\"address\":" + quote(storeHost + ":" + (port + 9))
                            + ",\"form\":\"read\",\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,"
                            + "\"value_bytes\":1048576,\"ttl_min_ms\":1000}}")
                    .toString();
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(host, port + 2), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("GET /-/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.ISO_8859_1));
                return readLine(socket.getInputStream()).contains(" 200 ");
            } catch (IOException notYet) {
                return false;
            }
        }

        void signal(String name) throws IOException {
            log("node " + host + " gets SIG" + name);
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }

        void end() {
            endExpected = true;
            if (process != null) {
                process.destroyForcibly();
            }
        }

        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(InetAddress.getByName(host), port + 4), 1000);
            socket.setTcpNoDelay(true);
            return socket;
        }

        long residentKilobytes() {
            try {
                return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                        .filter(line -> line.startsWith("VmRSS"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                        .findFirst()
                        .orElse(-1);
            } catch (IOException gone) {
                return -1;
            }
        }
    }

    void awaitReady() {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (System.nanoTime() > until) {
                    throw new IllegalStateException("node " + node.host + " isn't ready");
                }
                sleep(50);
            }
        }
        log("all nodes are ready");
    }

    static String route(String name, String host, String prefix, String type, String service, int timeout) {
        return "{\"host\":" + quote(host) + ",\"rules\":[{\"name\":" + quote(name) + ",\"route_type\":" + quote(type)
                + ",\"aim_ms\":1200,\"priority\":1,\"match\":{\"prefix\":" + quote(prefix) + "},\"action\":{\"service\":"
                + quote(service) + ",\"timeout_ms\":" + timeout + ",\"max_attempts\":2}}]}";
    }

    static String configuration(int version, List<String> listeners, List<String> services) {
        return "{\"version\":\"r" + version
                + "\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"listeners\":[" + String.join(",", listeners) + "],\"clusters\":["
                + String.join(
                        ",",
                        services.stream()
                                .map(service -> "{\"name\":" + quote(service)
                                        + ",\"health_path\":\"/health\",\"max_connections\":688,\"protocol\":\"h1\",\"tls\":false}")
                                .toList())
                + "]}";
    }

    static byte[] get(String path, String host, String id, int deadline) {
        return ("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + deadline
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        nodes.forEach(Node::end);
        targets.forEach(Target::close);
        try (java.util.stream.Stream<Path> files = Files.list(temporary)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(temporary);
        } catch (IOException ignored) {
            // Left in the temporary folder.
        }
    }

    final Map<String, String> ends = new ConcurrentHashMap<>();
}
