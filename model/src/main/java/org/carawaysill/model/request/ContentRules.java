package org.carawaysill.model.request;

/**
 * What the parts of a request or an answer may contain.
 *
 * <p>Whoever takes in a request or an answer checks it with these rules before it is passed on, and each node checks
 * with the same rules what another node sends. A message that breaks them would end the connection between two nodes
 * and all requests on it. Stateless and thread safe.
 */
public final class ContentRules {

    /** The lowest status of a final answer; lower ones announce another answer. */
    public static final int LOWEST_FINAL_STATUS = 200;

    /** The highest status that HTTP defines a class for (RFC 9110, section 15). */
    public static final int HIGHEST_STATUS = 599;

    private static final char SPACE = ' ';
    private static final char TAB = '\t';
    private static final char DELETE = 0x7f;

    private ContentRules() {}

    /**
     * Returns whether an answer with this status is final.
     *
     * @param status the status code
     * @return whether it is
     */
    public static boolean isFinalStatus(int status) {
        return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS;
    }

    /**
     * Returns whether a text can be a method, a path or the name of a header field: not empty, without white space and
     * control characters. A line break would let its sender inject header fields or a whole request.
     *
     * @param text the text
     * @return whether it can
     */
    public static boolean isWithoutWhiteSpace(String text) {
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character <= SPACE || character == DELETE) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /**
     * Returns whether a text can be the value of a header field that another node receives: no line break and no NUL.
     *
     * @param text the text
     * @return whether it can
     */
    public static boolean isSingleLine(String text) {
        return text.indexOf('\r') < 0 && text.indexOf('\n') < 0 && text.indexOf(0) < 0;
    }

    /**
     * Returns whether a text can be written to a copy as the value of a header field: no control character but the tab.
     *
     * @param text the text
     * @return whether it can
     */
    public static boolean isWritableAsValue(String text) {
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character < SPACE && character != TAB || character == DELETE) {
                return false;
            }
        }
        return true;
    }
}
