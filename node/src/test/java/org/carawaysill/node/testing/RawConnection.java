package org.carawaysill.node.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A connection on which the test controls every byte. Reads have a long timeout. Not thread safe. */
public final class RawConnection implements AutoCloseable {

    private static final int TIMEOUT_MILLIS = 30_000;

    /** Keeps the operating system from enlarging the buffer until it holds all that a test leaves unread. */
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private static final String HEAD_END = "\r\n\r\n";

    private final Socket socket;

    public RawConnection(Socket socket) {
        this.socket = socket;
    }

    public static RawConnection to(int port) {
        try {
            Socket socket = new Socket();
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            return new RawConnection(socket);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    public RawConnection write(String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return this;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Writes until the other side closes or resets the connection.
     *
     * @param text the text that is written repeatedly
     */
    public void writeUntilRefused(String text) {
        try {
            while (true) {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException refused) {
            return;
        }
    }

    public String readHead() {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith(HEAD_END)) {
            int next = read();
            if (next < 0) {
                return head.toString();
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static int contentLength(String head) {
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("content-length:"))
                .mapToInt(line ->
                        Integer.parseInt(line.substring(line.indexOf(':') + 1).strip()))
                .findFirst()
                .orElse(0);
    }

    /**
     * Reads a message with a stated length, whose body may be large, and drops it.
     *
     * @return the number of bytes of the body that arrived
     */
    public int readMessageLength() {
        return readBytes(contentLength(readHead()));
    }

    /**
     * Reads a number of bytes and drops them.
     *
     * @param count the number of bytes
     * @return the number that arrived before the end of the connection
     */
    public int readBytes(int count) {
        try {
            return socket.getInputStream().readNBytes(count).length;
        } catch (IOException reset) {
            throw new UncheckedIOException(reset);
        }
    }

    /**
     * Reads a message with a stated length.
     *
     * @return the head and the body
     */
    public String readMessage() {
        String head = readHead();
        int length = contentLength(head);
        StringBuilder message = new StringBuilder(head);
        for (int i = 0; i < length; i++) {
            message.append((char) read());
        }
        return message.toString();
    }

    /**
     * Reads until the other side closes or resets the connection.
     *
     * @return all bytes received
     */
    public String readToEnd() {
        StringBuilder text = new StringBuilder();
        for (int next = read(); next >= 0; next = read()) {
            text.append((char) next);
        }
        return text.toString();
    }

    private int read() {
        try {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            InputStream input = socket.getInputStream();
            return input.read();
        } catch (SocketTimeoutException late) {
            throw new AssertionError("no byte arrived before the timeout and the connection stayed open", late);
        } catch (IOException reset) {
            return -1;
        }
    }

    /** Resets the connection. */
    public void reset() {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
