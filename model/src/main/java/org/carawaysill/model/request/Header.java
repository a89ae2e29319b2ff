package org.carawaysill.model.request;

/**
 * One HTTP header field.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the field name, in the case in which it arrived
 * @param value the field value
 */
public record Header(String name, String value) {}
