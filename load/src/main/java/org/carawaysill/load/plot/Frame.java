package org.carawaysill.load.plot;

import java.util.Locale;

/**
 * The coordinate system of a plot.
 *
 * <p>Immutable and thread safe.
 *
 * @param seconds the time at the right edge
 * @param perSecond the rate at the top edge
 */
record Frame(double seconds, double perSecond) {

    static final int WIDTH = 900;
    static final int HEIGHT = 420;
    static final int LEFT = 70;
    static final int RIGHT = 880;
    static final int TOP = 50;
    static final int BOTTOM = 360;

    String x(double atSeconds) {
        return text(LEFT + (RIGHT - LEFT) * atSeconds / seconds);
    }

    String y(double ratePerSecond) {
        return text(BOTTOM - (BOTTOM - TOP) * ratePerSecond / perSecond);
    }

    static String text(double pixels) {
        return String.format(Locale.ROOT, "%.1f", pixels);
    }

    /**
     * Returns the distance between tick marks on an axis.
     *
     * @param span the length of the axis
     * @param marks the maximum number of tick marks
     * @return the smallest of 1, 2 or 5 times a power of ten that does not exceed that number
     */
    static double step(double span, int marks) {
        double power = Math.pow(10, Math.floor(Math.log10(span / marks)));
        for (int factor : new int[] {1, 2, 5}) {
            if (span / (factor * power) <= marks) {
                return factor * power;
            }
        }
        return 10 * power;
    }
}
