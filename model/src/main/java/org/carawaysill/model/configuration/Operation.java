package org.carawaysill.model.configuration;

/**
 * An operation of a service: how its requests are matched and labelled.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the operation's name
 * @param method the HTTP method, or {@code *} for any
 * @param path the path without query; a segment {@code *} matches one segment, a final segment {@code **} matches any
 *     number of segments
 * @param labels the operators' labels
 */
public record Operation(String name, String method, String path, Labels labels) {}
