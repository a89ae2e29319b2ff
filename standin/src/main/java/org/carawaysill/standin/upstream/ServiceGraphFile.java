package org.carawaysill.standin.upstream;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

/** Reads the TOML file with the operations and calls of a service. No state; thread safe. */
public final class ServiceGraphFile {

    private ServiceGraphFile() {}

    /**
     * Reads a graph.
     *
     * @param file the TOML file
     * @return the graph
     * @throws IllegalArgumentException if the file can't be read or is no graph; the message is one line
     */
    public static ServiceGraph read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new IllegalArgumentException("can't read " + file, e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
        }
    }

    static ServiceGraph parse(String text) {
        TomlMapper mapper = TomlMapper.builder()
                .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                .build();
        try {
            return mapper.readValue(text, ServiceGraph.class);
        } catch (JacksonException e) {
            throw new IllegalArgumentException(describe(e), e);
        }
    }

    private static String describe(JacksonException failure) {
        String reason = failure.getOriginalMessage().lines().findFirst().orElse("no graph");
        if (!(failure instanceof JsonMappingException mapping)
                || mapping.getPath().isEmpty()) {
            return reason;
        }
        return mapping.getPath().stream().map(ServiceGraphFile::step).collect(Collectors.joining(".")) + ": " + reason;
    }

    private static String step(JsonMappingException.Reference reference) {
        return reference.getFieldName() == null ? Integer.toString(reference.getIndex() + 1) : reference.getFieldName();
    }
}
