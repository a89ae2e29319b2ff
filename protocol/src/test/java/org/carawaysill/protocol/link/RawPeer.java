package org.carawaysill.protocol.link;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.protocol.generated.Frame;

/** The other end of a connection as a plain socket, with which a test can send input that no link would send. */
final class RawPeer implements AutoCloseable {

    private static final int TIMEOUT_MILLIS = 30_000;

    private final Socket socket;
    private final DataInputStream input;
    private final DataOutputStream output;

    RawPeer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MILLIS);
        input = new DataInputStream(socket.getInputStream());
        output = new DataOutputStream(socket.getOutputStream());
    }

    static RawPeer dial(TestNode node) throws IOException {
        return new RawPeer(new Socket(InetAddress.getLoopbackAddress(), node.port));
    }

    static Frame hello(String name, long incarnation) {
        return LinkFrames.hello(new LinkIdentity(new NodeName(name), new ServiceName("tracker"), incarnation), 1);
    }

    /** Completes the handshake with a node whose name is the lesser one, so that messages may follow. */
    static RawPeer completeHandshake(TestNode node, String name, long incarnation) throws IOException {
        RawPeer peer = dial(node);
        peer.write(hello(name, incarnation));
        peer.read();
        peer.read();
        return peer;
    }

    void write(Frame frame) throws IOException {
        writeBytes(frame.toByteArray());
    }

    void writeBytes(byte[] frame) throws IOException {
        output.writeInt(frame.length);
        output.write(frame);
    }

    /** Writes bytes without a length field. */
    void writeRaw(byte[] bytes) throws IOException {
        output.write(bytes);
    }

    Frame read() throws IOException {
        return Frame.parseFrom(input.readNBytes(input.readInt()));
    }

    /** Reads until the other side closes. */
    byte[] readAll() throws IOException {
        return input.readAllBytes();
    }

    /** Waits until the other side closes, whatever it writes before. */
    void awaitClosed() {
        try {
            while (input.read() >= 0) {
                // The data before the end is ignored.
            }
        } catch (java.net.SocketTimeoutException e) {
            throw new AssertionError("the connection was not closed", e);
        } catch (IOException e) {
            // A reset also ends the connection.
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
