package org.carawaysill.policy.fleet.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.model.request.RequestContent;

/**
 * Computes fingerprints of requests.
 *
 * <p>Invariant: two requests have the same fingerprint only if service, caller, path with query, and body are equal. A
 * cryptographic digest guards against a caller that crafts a crashing request whose fingerprint collides with that of
 * another caller's request, which would then be refused. Not thread safe: owned by the policy.
 */
public final class Fingerprints {

    /** The header field that identifies the caller where no keys are checked (RFC 9110, section 11.6.2). */
    private static final String CALLER_FIELD = "authorization";

    private static final String ALGORITHM = "SHA-256";

    private final MessageDigest digest;

    /** Creates a calculator of fingerprints. */
    public Fingerprints() {
        try {
            digest = MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform must support " + ALGORITHM, missing);
        }
    }

    /**
     * Computes the fingerprint of a request.
     *
     * @param service the service that it is for
     * @param organisation the organisation whose key it carried; empty if it carried none
     * @param content the request
     * @return its fingerprint
     */
    public Fingerprint of(ServiceName service, Optional<OrganisationName> organisation, RequestContent content) {
        add(service.value());
        add(organisation
                .map(OrganisationName::value)
                .or(() -> content.header(CALLER_FIELD))
                .orElse(""));
        add(content.path());
        digest.update(content.body().bytes());
        ByteBuffer bits = ByteBuffer.wrap(digest.digest());
        return new Fingerprint(bits.getLong(), bits.getLong());
    }

    /**
     * Computes an identifier of one start of a copy.
     *
     * @param record the published record of the copy
     * @return the identifier, which is the same on all nodes
     */
    public long start(CopyRecord record) {
        add(record.copy().value());
        add(Long.toString(record.startedAtMillis()));
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    /** Adds a text with its length, so that bytes cannot move from one text to the next. */
    private void add(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }
}
