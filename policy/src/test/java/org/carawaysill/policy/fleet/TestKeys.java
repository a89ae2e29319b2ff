package org.carawaysill.policy.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.carawaysill.model.fleet.Allowance;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.identity.KeyDigest;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.request.Credential;
import org.carawaysill.model.request.Header;

/** Creates keys for tests and organisations that hold them. Stateless and thread safe. */
final class TestKeys {

    private TestKeys() {}

    private static KeyDigest digest(String key) {
        return KeyDigest.of(key.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the credential of a request with a key. */
    static Credential key(String key) {
        return new Credential(List.of(new Header("Authorization", "Token " + key)), Optional.of(digest(key)));
    }

    static Organisation organisation(String name, int rank, Optional<Allowance> allowance, String... keys) {
        Set<KeyDigest> digests = Stream.of(keys).map(TestKeys::digest).collect(Collectors.toSet());
        return new Organisation(new OrganisationName(name), digests, rank, allowance);
    }
}
