package org.carawaysill.model.identity;

/**
 * The name of an organisation, whose programs send requests under its keys.
 *
 * <p>Invariants: not blank, and no control characters, so that it can stand in a header field and in a log line. Immutable
 * and thread safe.
 *
 * @param value the name as published
 */
public record OrganisationName(String value) implements Comparable<OrganisationName> {

    public OrganisationName {
        if (value.isBlank() || value.chars().anyMatch(Character::isISOControl)) {
            throw new IllegalArgumentException("OrganisationName must not be blank or contain control characters");
        }
    }

    @Override
    public int compareTo(OrganisationName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
