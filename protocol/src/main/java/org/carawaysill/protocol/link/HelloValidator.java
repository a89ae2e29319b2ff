package org.carawaysill.protocol.link;

import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.protocol.generated.Frame;
import org.carawaysill.protocol.generated.Hello;

/** Checks the first frame that the other side sends on a connection. Stateless and thread safe. */
final class HelloValidator {

    /** The largest frame that is accepted before the hello of the other side. */
    static final int MAXIMUM_BYTES = 4096;

    static final long MAGIC = 0x6361_7261_7761_7953L;
    static final int VERSION = 6;

    private HelloValidator() {}

    /** The result of checking the first frame of the other side. */
    sealed interface Result {

        /** A valid hello from a node to which a connection is allowed. */
        record Valid(LinkIdentity peer, long connection) implements Result {}

        /** Anything else. */
        record Invalid(LinkFaultKind kind, String detail) implements Result {}
    }

    static Result check(Frame frame, LinkIdentity self, Optional<NodeName> expected) {
        if (frame.getKindCase() == Frame.KindCase.REFUSED) {
            return new Result.Invalid(
                    LinkFaultKind.REFUSED_BY_PEER, frame.getRefused().getReason());
        }
        Hello hello = frame.getHello();
        if (frame.getKindCase() != Frame.KindCase.HELLO || hello.getMagic() != MAGIC) {
            return new Result.Invalid(LinkFaultKind.WRONG_MAGIC, "the first frame is not a hello");
        }
        if (hello.getVersion() != VERSION) {
            return new Result.Invalid(LinkFaultKind.WRONG_VERSION, "version " + hello.getVersion());
        }
        if (hello.getNode().isBlank() || hello.getService().isBlank() || hello.getIncarnation() < 0) {
            return new Result.Invalid(LinkFaultKind.MALFORMED, "incomplete hello");
        }
        return checkName(hello, self, expected);
    }

    private static Result checkName(Hello hello, LinkIdentity self, Optional<NodeName> expected) {
        NodeName name = new NodeName(hello.getNode());
        if (name.equals(self.name())) {
            return new Result.Invalid(LinkFaultKind.OWN_NAME, "the peer has this node's name");
        }
        if (expected.isPresent() && !expected.get().equals(name)) {
            return new Result.Invalid(LinkFaultKind.WRONG_PEER, "the peer is named " + name);
        }
        LinkIdentity peer = new LinkIdentity(name, new ServiceName(hello.getService()), hello.getIncarnation());
        return new Result.Valid(peer, hello.getConnection());
    }
}
