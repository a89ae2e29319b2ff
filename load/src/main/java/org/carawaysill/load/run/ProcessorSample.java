package org.carawaysill.load.run;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * The utilisation of the machine's processors since the last sample.
 *
 * <p>Immutable and thread safe.
 *
 * @param atNanos nanoseconds from the run's start
 * @param busyRatio the utilisation of all processors, from 0 to 1
 */
public record ProcessorSample(long atNanos, double busyRatio) {

    private static final OperatingSystemMXBean SYSTEM =
            ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);

    /**
     * Takes a sample.
     *
     * @param atNanos nanoseconds from the run's start
     * @return the sample
     */
    public static ProcessorSample take(long atNanos) {
        return new ProcessorSample(atNanos, Math.max(0, SYSTEM.getCpuLoad()));
    }
}
