package org.carawaysill.node.observation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads resource usage of this process from the operating system.
 *
 * <p>Reads the files in /proc directly, since the management classes of the JDK would add to the memory that they
 * report. Thread safe.
 */
final class ProcessStatistics {

    private static final Path STATUS = Path.of("/proc/self/status");

    private static final Path TIMES = Path.of("/proc/self/stat");

    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");

    private static final int BYTES_PER_KIBIBYTE = 1024;

    private static final double TICKS_PER_SECOND = 100;

    /** The field of the user time, counted after the program's name, which may contain spaces. */
    private static final int USER_TIME = 12;

    private static final int SYSTEM_TIME = 13;

    private ProcessStatistics() {}

    /**
     * Reads the resident memory.
     *
     * @return bytes; 0 if unavailable
     */
    static double residentBytes() {
        Matcher matcher = RESIDENT.matcher(read(STATUS));
        return matcher.find() ? Double.parseDouble(matcher.group(1)) * BYTES_PER_KIBIBYTE : 0;
    }

    /**
     * Reads the processor time.
     *
     * @return seconds since the process started; 0 if unavailable
     */
    static double processorSeconds() {
        String times = read(TIMES);
        String[] fields = times.substring(times.lastIndexOf(')') + 1).strip().split(" ");
        if (fields.length <= SYSTEM_TIME) {
            return 0;
        }
        return (Double.parseDouble(fields[USER_TIME - 1]) + Double.parseDouble(fields[SYSTEM_TIME - 1]))
                / TICKS_PER_SECOND;
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException unreadable) {
            return "";
        }
    }
}
