package org.carawaysill.load.site;

/** Range checks of a site's numbers. Stateless and thread safe. */
final class Checks {

    private Checks() {}

    static void positive(String key, double value) {
        if (value <= 0) {
            throw new IllegalArgumentException(key + " must be positive, not " + value);
        }
    }

    static void notNegative(String key, double value) {
        if (value < 0) {
            throw new IllegalArgumentException(key + " must not be negative, not " + value);
        }
    }
}
