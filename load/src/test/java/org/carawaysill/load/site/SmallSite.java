package org.carawaysill.load.site;

import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.Objects;

/** The site of the tests: two services, five copies. Stateless and thread safe. */
public final class SmallSite {

    private SmallSite() {}

    /**
     * Returns the directory of the test sites.
     *
     * @return the directory
     */
    public static Path sites() {
        try {
            return Path.of(Objects.requireNonNull(SmallSite.class.getResource("/sites"))
                    .toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Reads the site.
     *
     * @return the site
     */
    public static Site read() {
        try {
            return SiteReader.read(sites(), "small");
        } catch (SiteException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Returns an operation of the site.
     *
     * @param name its name
     * @return the operation
     */
    public static LoadOperation operation(String name) {
        return read().operations().stream()
                .filter(operation -> operation.name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}
