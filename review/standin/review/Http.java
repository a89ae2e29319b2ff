package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages with a stated length. Stateless. */
final class Http {

    private static final int MOST_HEAD_BYTES = 64 * 1024;

    private Http() {}

    /**
     * A message.
     *
     * @param start the request line or the status line
     * @param headers its header fields, by their names in lower case
     * @param body its body
     */
    record Message(String start, Map<String, String> headers, byte[] body) {

        int status() {
            return Integer.parseInt(start.split(" ", 3)[1]);
        }

        String method() {
            return start.split(" ", 3)[0];
        }

        String target() {
            return start.split(" ", 3)[1];
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** Returns the next message; fails with {@link EOFException} if the connection ends before it is complete. */
    static Message read(InputStream in) throws IOException {
        String head = head(in);
        String[] lines = head.split("\r\n");
        Map<String, String> headers = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the body ended after " + body.length + " of " + length + " bytes");
        }
        return new Message(lines[0], headers, body);
    }

    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException(bytes.size() == 0 ? "closed" : "the head ended early");
            }
            bytes.write(next);
            boolean expected = next == (matched % 2 == 0 ? '\r' : '\n');
            matched = expected ? matched + 1 : next == '\r' ? 1 : 0;
            if (bytes.size() > MOST_HEAD_BYTES) {
                throw new IOException("the head is too long");
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16 * 1024);
    }

    static byte[] message(String start, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || start.startsWith("HTTP/") || start.startsWith("POST")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        byte[] first = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[first.length + body.length];
        System.arraycopy(first, 0, whole, 0, first.length);
        System.arraycopy(body, 0, whole, first.length, body.length);
        return whole;
    }
}
