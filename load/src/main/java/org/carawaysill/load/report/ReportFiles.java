package org.carawaysill.load.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes and reads reports as JSON. Stateless and thread safe. */
public final class ReportFiles {

    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private ReportFiles() {}

    /**
     * Writes a report or a comparison.
     *
     * @param file the file to write
     * @param report the report or comparison
     * @throws IOException if the file can't be written
     */
    public static void write(Path file, Record report) throws IOException {
        Files.writeString(file, MAPPER.writeValueAsString(report) + "\n");
    }

    /**
     * Reads a report.
     *
     * @param file the file to read
     * @return the report
     * @throws IOException if the file can't be read or is no report
     */
    public static RunReport read(Path file) throws IOException {
        return MAPPER.readValue(file.toFile(), RunReport.class);
    }
}
