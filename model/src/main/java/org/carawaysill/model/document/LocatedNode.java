package org.carawaysill.model.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A value as parsed by Jackson, with its location in the document.
 *
 * <p>Not modified after the document has been read.
 *
 * @param node the value
 * @param lines its lines
 * @param path the path of its key
 */
record LocatedNode(JsonNode node, KeyLines lines, String path) {

    private static final int MAXIMUM_TEXT_LENGTH = 60;

    LocatedNode field(String key) {
        return new LocatedNode(node.path(key), lines.field(key), KeyPath.child(path, key));
    }

    List<LocatedNode> elements() {
        List<LocatedNode> elements = new ArrayList<>(node.size());
        for (int i = 0; i < node.size(); i++) {
            elements.add(new LocatedNode(node.get(i), lines.element(i), KeyPath.element(path, i)));
        }
        return elements;
    }

    /** Returns the value as text for a fault message, truncated so that the message stays on one line. */
    String abbreviatedText() {
        String text = node.toString();
        return text.length() <= MAXIMUM_TEXT_LENGTH ? text : text.substring(0, MAXIMUM_TEXT_LENGTH) + "...";
    }
}
