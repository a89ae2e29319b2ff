package org.carawaysill.standin.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SequencedMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.carawaysill.model.identity.ServiceName;

/** Reads the documents to publish at the start. No state; thread safe. */
final class DocumentDirectory {

    private static final String SUFFIX = ".toml";

    private DocumentDirectory() {}

    /**
     * Reads all documents of a directory.
     *
     * @param directory where they are, one {@code SERVICE.toml} each
     * @return the texts by service, in the order of the names
     * @throws IllegalArgumentException if one can't be read
     */
    static SequencedMap<ServiceName, String> read(Path directory) {
        SequencedMap<ServiceName, String> texts = new TreeMap<>();
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : documents(files)) {
                String name = file.getFileName().toString();
                ServiceName service = new ServiceName(name.substring(0, name.length() - SUFFIX.length()));
                texts.put(service, Files.readString(file));
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("can't read the documents of " + directory, e);
        }
        return texts;
    }

    private static List<Path> documents(Stream<Path> files) {
        return files.filter(file -> file.getFileName().toString().endsWith(SUFFIX))
                .toList();
    }
}
