package review;

import java.util.List;
import java.util.Map;

/** Writes JSON documents of maps, lists, texts, numbers and truth values. Stateless. */
final class Json {

    private Json() {}

    static String of(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    private static void write(StringBuilder out, Object value) {
        switch (value) {
            case Map<?, ?> map -> {
                out.append('{');
                String separator = "";
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    out.append(separator);
                    write(out, entry.getKey().toString());
                    out.append(':');
                    write(out, entry.getValue());
                    separator = ",";
                }
                out.append('}');
            }
            case List<?> list -> {
                out.append('[');
                String separator = "";
                for (Object item : list) {
                    out.append(separator);
                    write(out, item);
                    separator = ",";
                }
                out.append(']');
            }
            case Number number -> out.append(number);
            case Boolean truth -> out.append(truth);
            default -> out.append('"').append(value.toString().replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        }
    }
}
