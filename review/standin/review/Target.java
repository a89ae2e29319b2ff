package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound target: runs at most as many requests as it has slots, refuses the others and those for other instances, and
 * echoes the request's id. Thread safe.
 */
final class Target implements AutoCloseable {

    /** How a target answers what it runs. */
    @FunctionalInterface
    interface Work {

        Result run(Http.Message request) throws InterruptedException;
    }

    /**
     * The result of a run.
     *
     * @param status the status
     * @param body the body
     */
    record Result(int status, byte[] body) {}

    final String id;
    private final int slots;
    private final Work work;
    private final Record record;
    private final ServerSocket server = new ServerSocket();
    private final AtomicInteger running = new AtomicInteger();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Target(String id, String host, int port, int slots, Work work, Record record) throws IOException {
        this.id = id;
        this.slots = slots;
        this.work = work;
        this.record = record;
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host, port), 1000);
        Thread.ofVirtual().start(this::accept);
    }

    /** Returns how often each request ran here, by its id. */
    Map<String, Integer> runs() {
        return runs;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
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
                socket.getOutputStream().write(answer(request));
            }
        } catch (IOException | InterruptedException ended) {
            // The node closed the connection, or the target ended.
        } finally {
            connections.remove(socket);
        }
    }

    private byte[] answer(Http.Message request) throws InterruptedException {
        String name = request.header("Request-Id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Request-Id", name);
        if (!request.header("Target-Instance").equals(id)) {
            headers.put("Instance-Id", id);
            return Http.message("HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
        }
        int now = running.incrementAndGet();
        try {
            if (now > slots) {
                headers.put("Not-Executed", "1");
                return Http.message("HTTP/1.1 503 Service Unavailable", headers, new byte[0]);
            }
            runs.merge(name, 1, Integer::sum);
            record.line("run %s at %s, deadline %s ms", name, id, request.header("Deadline-Ms"));
            Result result = work.run(request);
            headers.put("Response-Seal", "seal." + name + "." + result.body().length);
            return Http.message("HTTP/1.1 " + result.status() + " Done", headers, result.body());
        } finally {
            running.decrementAndGet();
        }
    }

    /** Ends as a process does: closes its address and all connections. */
    void exit() throws IOException {
        server.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
