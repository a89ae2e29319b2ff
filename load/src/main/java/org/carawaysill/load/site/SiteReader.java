package org.carawaysill.load.site;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.ServiceName;

/**
 * Reads a site's {@code site.toml} and the graphs of its services. Unknown and missing keys in {@code site.toml} are
 * faults.
 *
 * <p>Stateless and thread safe.
 */
public final class SiteReader {

    private static final String FILE_NAME = "site.toml";
    private static final String GRAPHS = "graphs";
    private static final TomlMapper MAPPER = TomlMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .addModule(identities())
            .build();

    private static final ObjectReader SITE =
            MAPPER.readerFor(SiteDocument.class).with(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
    private static final ObjectReader GRAPH = MAPPER.readerFor(ServiceGraph.class);

    private SiteReader() {}

    /**
     * Reads a site.
     *
     * @param sites the directory that contains a directory for each site
     * @param name the site's name
     * @return the site
     * @throws SiteException if a file can't be read or has a fault
     */
    public static Site read(Path sites, String name) throws SiteException {
        Path file = sites.resolve(name).resolve(FILE_NAME);
        SiteDocument document = read(file, SITE);
        List<ServiceGraph> graphs = new ArrayList<>();
        for (SiteService service : document.services()) {
            Path graph = sites.resolve(name).resolve(GRAPHS).resolve(service.name() + ".toml");
            ServiceGraph published = read(graph, GRAPH);
            graphs.add(published.withServiceMilliseconds(service.serviceMilliseconds()));
        }
        try {
            return new Site(
                    name,
                    document.zones(),
                    document.services(),
                    document.bottleneck(),
                    document.traffic(),
                    new CallGraph(graphs));
        } catch (IllegalArgumentException e) {
            throw new SiteException(file, 0, "", String.valueOf(e.getMessage()));
        }
    }

    private static <T> T read(Path file, ObjectReader reader) throws SiteException {
        try {
            return reader.readValue(Files.readString(file));
        } catch (JsonMappingException e) {
            throw new SiteException(file, line(e), key(e), cause(e));
        } catch (JsonProcessingException e) {
            throw new SiteException(file, line(e), "", e.getOriginalMessage());
        } catch (IOException e) {
            throw new SiteException(
                    file, 0, "", "can't be read (" + e.getClass().getSimpleName() + ")");
        }
    }

    private static int line(JsonProcessingException e) {
        return Optional.ofNullable(e.getLocation())
                .map(JsonLocation::getLineNr)
                .filter(line -> line > 0)
                .orElse(0);
    }

    private static String key(JsonMappingException e) {
        return e.getPath().stream()
                .map(step -> step.getFieldName() == null ? "[" + step.getIndex() + "]" : step.getFieldName())
                .collect(Collectors.joining("."))
                .replace(".[", "[");
    }

    private static String cause(JsonMappingException e) {
        return e.getCause() instanceof IllegalArgumentException fault
                ? String.valueOf(fault.getMessage())
                : String.valueOf(e.getOriginalMessage()).split(";|\\(")[0].strip();
    }

    private static SimpleModule identities() {
        SimpleModule module = new SimpleModule();
        module.addDeserializer(ServiceName.class, new Named<>(ServiceName.class, ServiceName::new));
        module.addDeserializer(CallerName.class, new Named<>(CallerName.class, CallerName::new));
        module.addDeserializer(AvailabilityZone.class, new Named<>(AvailabilityZone.class, AvailabilityZone::new));
        return module;
    }

    /** Deserializes an identity from its text. Immutable and thread safe. */
    private static final class Named<T> extends FromStringDeserializer<T> {

        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> constructor;

        Named(Class<T> type, Function<String, T> constructor) {
            super(type);
            this.constructor = constructor;
        }

        @Override
        protected T _deserialize(String text, DeserializationContext context) {
            return constructor.apply(text);
        }
    }
}
