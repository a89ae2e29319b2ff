package org.carawaysill.control.options;

import org.carawaysill.model.identity.ServiceName;

/**
 * A version of a service's document.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service
 * @param version the version, at least 1
 */
public record ServiceVersion(ServiceName service, long version) {

    /**
     * Parses {@code SERVICE=VERSION}.
     *
     * @param text the text
     * @return the service and its version
     * @throws IllegalArgumentException if the text has another form
     */
    public static ServiceVersion parse(String text) {
        int separator = text.lastIndexOf('=');
        if (separator > 0 && text.substring(separator + 1).matches("[1-9][0-9]{0,17}")) {
            long version = Long.parseLong(text.substring(separator + 1));
            return new ServiceVersion(new ServiceName(text.substring(0, separator)), version);
        }
        throw new IllegalArgumentException("expected SERVICE=VERSION, such as tracker=7, found \"" + text + '"');
    }

    @Override
    public String toString() {
        return service + " version " + version;
    }
}
