package org.carawaysill.protocol.link;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.PeerAnswer;
import org.carawaysill.policy.message.PeerMessage.PeerRequest;
import org.carawaysill.policy.message.PeerMessage.Purpose;

/**
 * Measures round trips of a request and its answer between two links in this process over loopback, and, for
 * comparison, an echo of as many bytes over blocking sockets in the same run.
 *
 * <p>A program to run by hand, not a test: its results depend on the load of the machine. One thread sends; the event
 * loops record the times.
 */
final class LinkTrial {

    private static final int BODY_BYTES = 2048;
    private static final int HEADERS = 12;
    private static final int SAMPLES = 30_000;
    private static final int PACED_SAMPLES = 10_000;
    private static final int PACE_NANOS = 500_000;
    private static final int WINDOW = 64;
    private static final int ECHO_BYTES = 2600;
    private static final NodeName CLIENT = new NodeName("tracker-1");
    private static final NodeName SERVER = new NodeName("manifests-1");
    private static final List<Header> HEADER_FIELDS =
            Collections.nCopies(HEADERS, new Header("a-header-name", "some value of a header"));
    private static final Body BODY = Body.wrap(new byte[BODY_BYTES]);

    private final long[] sentAt = new long[SAMPLES];
    private final long[] durations = new long[SAMPLES];
    private final Semaphore window = new Semaphore(0);

    private LinkTrial() {}

    /**
     * Runs the measurement and prints its results.
     *
     * @param arguments none
     * @throws IOException if the echo fails
     */
    public static void main(String[] arguments) throws IOException {
        new LinkTrial().run();
    }

    private void run() throws IOException {
        PeerLink[] server = new PeerLink[1];
        server[0] = link(SERVER, message -> server[0].send(CLIENT, answer((PeerRequest) message)));
        try (PeerLink serverLink = server[0];
                PeerLink clientLink = link(CLIENT, message -> answered((PeerAnswer) message))) {
            int port = serverLink.start().join();
            clientLink.start().join();
            clientLink.connect(SERVER, "127.0.0.1", port);
            window.acquireUninterruptibly();
            measure("warm-up", clientLink, SAMPLES, WINDOW, 0);
            measure("one at a time", clientLink, SAMPLES, 1, 0);
            measure(WINDOW + " at a time", clientLink, SAMPLES, WINDOW, 0);
            measure("2,000 a second", clientLink, PACED_SAMPLES, WINDOW, PACE_NANOS);
        }
        echo();
    }

    private PeerLink link(NodeName name, Consumer<PeerMessage> received) {
        return PeerLink.builder()
                .self(name)
                .service(new ServiceName("manifests"))
                .incarnation(1)
                .listener(new TrialListener(received))
                .build();
    }

    private void measure(String what, PeerLink link, int samples, int width, long pace) {
        window.release(width);
        long start = System.nanoTime();
        long processor = processorNanos();
        for (int i = 0; i < samples; i++) {
            window.acquireUninterruptibly();
            while (pace > 0 && System.nanoTime() - start < i * pace) {
                LockSupport.parkNanos(pace / 10);
            }
            sentAt[i] = System.nanoTime();
            link.send(SERVER, request(i));
        }
        window.acquireUninterruptibly(width);
        print(what, samples, System.nanoTime() - start, processorNanos() - processor);
    }

    /** Returns the processor time of the whole process, which other load on the machine affects less than latencies. */
    private static long processorNanos() {
        return ProcessHandle.current().info().totalCpuDuration().orElseThrow().toNanos();
    }

    private void answered(PeerAnswer answer) {
        int sample = (int) answer.attempt().low();
        durations[sample] = System.nanoTime() - sentAt[sample];
        window.release();
    }

    private void print(String what, int samples, long nanos, long processorNanos) {
        long[] sorted = Arrays.copyOf(durations, samples);
        Arrays.sort(sorted);
        System.out.printf(
                "%-30s %,8.0f a second; us at 50%% %.1f, 99%% %.1f, 99.9%% %.1f; us of processor each %.1f%n",
                what,
                samples * 1e9 / nanos,
                sorted[samples / 2] / 1e3,
                sorted[samples * 99 / 100] / 1e3,
                sorted[samples * 999 / 1000] / 1e3,
                processorNanos / 1e3 / samples);
    }

    private void echo() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread echoing = new Thread(() -> echoAll(server));
            echoing.setDaemon(true);
            echoing.start();
            try (Socket socket = new Socket(server.getInetAddress(), server.getLocalPort())) {
                socket.setTcpNoDelay(true);
                DataInputStream input = new DataInputStream(socket.getInputStream());
                byte[] bytes = new byte[ECHO_BYTES];
                long start = System.nanoTime();
                long processor = processorNanos();
                for (int i = 0; i < SAMPLES; i++) {
                    long sent = System.nanoTime();
                    socket.getOutputStream().write(bytes);
                    input.readFully(bytes);
                    durations[i] = System.nanoTime() - sent;
                }
                print("blocking echo, one at a time", SAMPLES, System.nanoTime() - start, processorNanos() - processor);
            }
        }
    }

    private static void echoAll(ServerSocket server) {
        try (Socket socket = server.accept()) {
            socket.setTcpNoDelay(true);
            DataInputStream input = new DataInputStream(socket.getInputStream());
            byte[] bytes = new byte[ECHO_BYTES];
            while (true) {
                input.readFully(bytes);
                socket.getOutputStream().write(bytes);
            }
        } catch (IOException e) {
            // The client has closed the connection after its last sample.
        }
    }

    private static PeerRequest request(int sample) {
        return new PeerRequest(
                new AttemptIdentifier(0, sample),
                new RequestIdentifier(1, sample),
                new ServiceName("manifests"),
                "issue",
                new CallerName("quay-gate"),
                new Priority(400),
                false,
                Optional.of("a key"),
                2,
                2_000_000_000L,
                1,
                Purpose.RUN,
                new RequestContent("POST", "/bills/7/issue", HEADER_FIELDS, BODY));
    }

    private static PeerAnswer answer(PeerRequest request) {
        return new PeerAnswer(
                request.attempt(),
                new Outcome.Answered(new AnswerContent(200, HEADER_FIELDS, BODY)),
                2,
                new LoadReport(1, 10, 0, 0),
                List.of());
    }

    private final class TrialListener implements PeerListener {

        private final Consumer<PeerMessage> action;

        TrialListener(Consumer<PeerMessage> action) {
            this.action = action;
        }

        @Override
        public void connected(NodeName peer, long incarnation) {
            if (peer.equals(SERVER)) {
                window.release();
            }
        }

        @Override
        public void lost(NodeName peer) {}

        @Override
        public void received(NodeName from, PeerMessage message) {
            action.accept(message);
        }

        @Override
        public void unsent(NodeName peer, PeerMessage message) {
            throw new IllegalStateException("unsent");
        }

        @Override
        public void fault(LinkFault fault) {
            System.out.println(fault);
        }
    }
}
