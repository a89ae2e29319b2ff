package org.carawaysill.model.configuration;

import org.carawaysill.model.identity.CallerName;

/**
 * A caller that the operators have configured.
 *
 * <p>Immutable and thread safe.
 *
 * @param caller the caller's name
 * @param labels the operators' labels
 */
public record CallerEntry(CallerName caller, Labels labels) {}
