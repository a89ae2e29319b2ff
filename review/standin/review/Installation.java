package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small installation on loopback: the store, machines with a target and a node each. The nodes are processes, started
 * with the command of the deploy file.
 *
 * <p>All machines use the same ports, at addresses 127.0.0.1, 127.0.0.2 and so on. Not thread safe.
 */
final class Installation implements AutoCloseable {

    private static final int TARGET = 1;
    private static final int READY = 2;
    private static final int INBOUND = 3;
    private static final int OUTBOUND = 4;
    private static final int FIRST_OF_NODES = 5;
    private static final int LAST_OF_NODES = 8;
    private static final int STORE = 9;
    private static final int PORTS = 10;

    /**
     * A machine.
     *
     * @param host its address
     * @param zone its zone
     * @param service the service of its target
     * @param slots the slots of its target
     * @param target its target
     */
    record Machine(String host, String zone, String service, int slots, Target target) {}

    /**
     * A route of the configuration.
     *
     * @param host the host that requests name; the only prefix is /p/
     * @param type its route_type
     * @param service its destination
     * @param timeoutMillis its timeout_ms
     * @param aimMillis its aim_ms
     * @param attempts its max_attempts
     */
    record Route(String host, String type, String service, int timeoutMillis, int aimMillis, int attempts) {}

    final Record record;
    final Store store;
    final List<Machine> machines = new ArrayList<>();
    private final Path home;
    private final Path directory;
    private final int firstPort;
    private final Map<String, Process> nodes = new LinkedHashMap<>();
    private final Map<String, Integer> sequences = new LinkedHashMap<>();
    private final Set<String> withdrawn = ConcurrentHashMap.newKeySet();
    private final Map<String, String> states = new ConcurrentHashMap<>();
    private volatile boolean closed;

    Installation(Path home, Record record, int machineCount) throws IOException {
        this.home = home;
        this.record = record;
        directory = Files.createTempDirectory("carawaysill-review");
        firstPort = freePorts(machineCount);
        store = new Store(address(1), port(STORE));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endNodes));
    }

    static String address(int machine) {
        return "127.0.0." + machine;
    }

    private int port(int offset) {
        return firstPort + offset;
    }

    private static int freePorts(int machineCount) throws IOException {
        for (int first = 21_000 + (int) (ProcessHandle.current().pid() % 500) * PORTS; first < 31_000; first += PORTS) {
            if (areFree(first, machineCount)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(int first, int machineCount) {
        for (int machine = 1; machine <= machineCount; machine++) {
            for (int port = first; port < first + PORTS; port++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(address(machine), port));
                } catch (IOException taken) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Adds a machine with a target that listens at once; its node is not started yet. */
    Machine add(String zone, String service, int slots, Target.Work work) throws IOException {
        String host = address(machines.size() + 1);
        Target target = new Target("i-" + service + "-" + (machines.size() + 1), host, port(TARGET), slots, work, record);
        Machine machine = new Machine(host, zone, service, slots, target);
        machines.add(machine);
        return machine;
    }

    /** Writes the configuration to the store. */
    void configure(int version, List<Route> routes) {
        List<Object> listeners = new ArrayList<>();
        List<Object> clusters = new ArrayList<>();
        for (Route route : routes) {
            Map<String, Object> rule = new LinkedHashMap<>();
            rule.put("name", "r-" + route.host());
            rule.put("route_type", route.type());
            rule.put("aim_ms", route.aimMillis());
            rule.put("priority", 1);
            rule.put("match", Map.of("prefix", "/p/"));
            rule.put(
                    "action",
                    Map.of(
                            "service", route.service(),
                            "timeout_ms", route.timeoutMillis(),
                            "max_attempts", route.attempts()));
            listeners.add(Map.of("host", route.host(), "rules", List.of(rule)));
        }
        machines.stream().map(Machine::service).distinct().forEach(service -> {
            clusters.add(Map.of(
                    "name", service, "health_path", "/health", "max_connections", 700, "protocol", "h1", "tls", false));
        });
        // The limits of clients are those of the example of `fleetbench wire`.
        Map<String, Object> limits = Map.of(
                "max_header_bytes", 16_384,
                "max_body_bytes", 67_108_864,
                "header_timeout_ms", 3000,
                "idle_timeout_ms", 15_000);
        store.put(
                "op/config",
                Json.of(Map.of("version", "r" + version, "limits", limits, "listeners", listeners, "clusters", clusters)));
    }

    /** Writes the entries of all targets to the store, at first and with each heartbeat. */
    void publishTargets(int heartbeatMillis) {
        machines.forEach(this::publish);
        Thread.ofVirtual().start(() -> {
            try {
                while (!closed) {
                    Thread.sleep(heartbeatMillis);
                    machines.forEach(this::publish);
                }
            } catch (InterruptedException ended) {
                // The end of the case.
            }
        });
    }

    /** Removes the entry of a target, which writes none from then on. */
    synchronized void withdraw(Machine machine) {
        withdrawn.add(machine.host());
        store.remove("servers/" + machine.target().id);
        record.line("the entry of %s is removed", machine.target().id);
    }

    /** Writes that a target is draining. */
    void drain(Machine machine) {
        states.put(machine.host(), "draining");
        publish(machine);
        record.line("the entry of %s says draining", machine.target().id);
    }

    private synchronized void publish(Machine machine) {
        if (withdrawn.contains(machine.host())) {
            return;
        }
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", machine.service());
        entry.put("address", machine.host() + ":" + port(TARGET));
        entry.put("zone", machine.zone());
        entry.put("version", "v1");
        entry.put("slots", machine.slots());
        entry.put("state", states.getOrDefault(machine.host(), "ready"));
        entry.put("warmup_left_ms", 0);
        entry.put("sequence", sequences.merge(machine.host(), 1, Integer::sum));
        store.put("servers/" + machine.target().id, Json.of(entry));
    }

    /** Starts the node of a machine. */
    void start(Machine machine) throws IOException {
        Path settings = directory.resolve(machine.host() + ".json");
        Files.writeString(settings, settings(machine));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(home.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "))
                .directory(home.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        directory.resolve(machine.host() + ".log").toFile()));
        builder.environment().put("CARAWAYSILL_SETTINGS", settings.toString());
        nodes.put(machine.host(), builder.start());
        record.line("node %s started", machine.host());
    }

    private String settings(Machine machine) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("node_name", "sidecar-" + machine.host());
        settings.put("role", "node");
        settings.put("machine_class", "sidecar");
        settings.put("serves", List.of("sidecar"));
        settings.put("ip", machine.host());
        settings.put("zone", machine.zone());
        settings.put("region", "region");
        settings.put("zones", Map.of(machine.zone(), "region"));
        settings.put(
                "listen",
                Map.of(
                        "inbound", machine.host() + ":" + port(INBOUND),
                        "outbound", machine.host() + ":" + port(OUTBOUND),
                        "ready_addr", machine.host() + ":" + port(READY)));
        settings.put("port_range", List.of(port(FIRST_OF_NODES), port(LAST_OF_NODES)));
        settings.put("seeds", List.of());
        settings.put("bootstrap", true);
        settings.put("loss_counts", false);
        settings.put("heartbeat_ms", 1500);
        settings.put("bounds", bounds());
        settings.put("app_addr", machine.host() + ":" + port(TARGET));
        settings.put("service", machine.service());
        settings.put("platform", Map.of("address", address(1) + ":" + port(STORE), "form", "read"));
        return Json.of(settings);
    }

    /** The bounds of the small sites. */
    private static Map<String, Object> bounds() {
        Map<String, Object> bounds = new LinkedHashMap<>();
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
        return bounds;
    }

    /** Waits until the nodes of all machines say that they are ready; fails if one doesn't within the limit. */
    void awaitReady(long limitMillis) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        for (Machine machine : machines) {
            while (!isReady(machine)) {
                if (System.nanoTime() - until > 0) {
                    throw new IOException("the node of " + machine.host() + " isn't ready");
                }
                Thread.sleep(50);
            }
        }
        record.line("all nodes are ready");
    }

    boolean isReady(Machine machine) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.host(), port(READY)), 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
            InputStream in = Http.buffered(socket.getInputStream());
            return Http.read(in).status() == 200;
        } catch (IOException away) {
            return false;
        }
    }

    /** Opens a connection as a client of a machine. */
    Socket connect(Machine machine) throws IOException {
        return connect(machine, new Socket());
    }

    /** Connects a socket as a client of a machine. */
    Socket connect(Machine machine, Socket socket) throws IOException {
        socket.connect(new InetSocketAddress(machine.host(), port(OUTBOUND)), 1000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    Process node(Machine machine) {
        return nodes.get(machine.host());
    }

    /** Sends a signal (STOP, CONT, TERM, KILL, HUP) to the node of a machine. */
    void signal(Machine machine, String signal) throws IOException, InterruptedException {
        long pid = node(machine).pid();
        record.line("SIG%s to the node of %s", signal, machine.host());
        new ProcessBuilder("sh", "-c", "kill -" + signal + " " + pid).inheritIO().start().waitFor();
    }

    private void endNodes() {
        nodes.values().forEach(Process::destroyForcibly);
        nodes.values().forEach(node -> node.onExit().join());
    }

    @Override
    public void close() throws IOException {
        closed = true;
        endNodes();
        for (Machine machine : machines) {
            machine.target().close();
        }
        store.close();
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }
}
