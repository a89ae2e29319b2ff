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
    private static final NodeName ASKER = new NodeName("tracker-1");
    private static final NodeName ANSWERER = new NodeName("manifests-1");
    private static final List<Header> SOME_HEADERS =
            Collections.nCopies(HEADERS, new Header("a-header-name", "some value of a header"));
    private static final Body BODY = Body.wrap(new byte[BODY_BYTES]);

    private final long[] sentAt = new long[SAMPLES];
    private final long[] took = new long[SAMPLES];
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
        PeerLink[] answerer = new PeerLink[1];
        answerer[0] = link(ANSWERER, message -> answerer[0].send(ASKER, answer((PeerRequest) message)));
        try (PeerLink answering = answerer[0];
                PeerLink asking = link(ASKER, message -> answered((PeerAnswer) message))) {
            int port = answering.start().join();
            asking.start().join();
            asking.connect(ANSWERER, "127.0.0.1", port);
            window.acquireUninterruptibly();
            ask("warm-up", asking, SAMPLES, WINDOW, 0);
            ask("one at a time", asking, SAMPLES, 1, 0);
            ask(WINDOW + " at a time", asking, SAMPLES, WINDOW, 0);
            ask("2,000 a second", asking, PACED_SAMPLES, WINDOW, PACE_NANOS);
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

    private void ask(String what, PeerLink link, int samples, int width, long pace) {
        window.release(width);
        long start = System.nanoTime();
        long processor = processorNanos();
        for (int i = 0; i < samples; i++) {
            window.acquireUninterruptibly();
            while (pace > 0 && System.nanoTime() - start < i * pace) {
                LockSupport.parkNanos(pace / 10);
            }
            sentAt[i] = System.nanoTime();
            link.send(ANSWERER, request(i));
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
        took[sample] = System.nanoTime() - sentAt[sample];
        window.release();
    }

    private void print(String what, int samples, long nanos, long processorNanos) {
        long[] sorted = Arrays.copyOf(took, samples);
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
                    took[i] = System.nanoTime() - sent;
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
                new RequestContent("POST", "/bills/7/issue", SOME_HEADERS, BODY));
    }

    private static PeerAnswer answer(PeerRequest request) {
        return new PeerAnswer(
                request.attempt(),
                new Outcome.Answered(new AnswerContent(200, SOME_HEADERS, BODY)),
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
            if (peer.equals(ANSWERER)) {
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
