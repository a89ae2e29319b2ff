package org.carawaysill.load.plot;

/** Generates elements of an SVG document, one per line. Stateless and thread safe. */
final class Svg {

    private Svg() {}

    static String open(int width, int height) {
        return """
                <svg xmlns="http://www.w3.org/2000/svg" width="%1$d" height="%2$d" viewBox="0 0 %1$d %2$d" \
                font-family="sans-serif" font-size="13">
                <rect width="%1$d" height="%2$d" fill="white"/>
                """.formatted(width, height);
    }

    static String close() {
        return "</svg>\n";
    }

    static String band(String left, String right, int top, int bottom, String colour) {
        return "<polygon points=\"%1$s,%3$d %2$s,%3$d %2$s,%4$d %1$s,%4$d\" fill=\"%5$s\"/>\n"
                .formatted(left, right, top, bottom, colour);
    }

    static String line(String fromX, String fromY, String toX, String toY) {
        return "<line x1=\"%s\" y1=\"%s\" x2=\"%s\" y2=\"%s\" stroke=\"#dddddd\"/>\n".formatted(fromX, fromY, toX, toY);
    }

    static String polyline(String points, String colour, String dashes) {
        return "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"1.6\" stroke-dasharray=\"%s\"/>\n"
                .formatted(points, colour, dashes);
    }

    static String text(String x, String y, String anchor, String colour, String text) {
        return "<text x=\"%s\" y=\"%s\" text-anchor=\"%s\" fill=\"%s\">%s</text>\n"
                .formatted(x, y, anchor, colour, escaped(text));
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
