package org.carawaysill.protocol.codec;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.carawaysill.policy.message.PeerMessage.ConfigurationChange;
import org.carawaysill.policy.message.PeerMessage.ConfigurationDocument;
import org.carawaysill.policy.message.PeerMessage.ConfigurationWanted;
import org.carawaysill.policy.message.PeerMessage.LineEdit;
import org.carawaysill.protocol.generated.ConfigurationChangeFrame;
import org.carawaysill.protocol.generated.ConfigurationDocumentFrame;
import org.carawaysill.protocol.generated.ConfigurationWantedFrame;
import org.carawaysill.protocol.generated.LineEditFrame;

/** Encodes and decodes the messages that relay configuration between nodes. Stateless and thread safe. */
final class ConfigurationCodec {

    private ConfigurationCodec() {}

    static ConfigurationWantedFrame encode(ConfigurationWanted wanted) {
        return ConfigurationWantedFrame.newBuilder()
                .setService(wanted.service().value())
                .setKnownVersion(wanted.knownVersion())
                .build();
    }

    static ConfigurationWanted decode(ConfigurationWantedFrame frame) throws ProtocolFault {
        return new ConfigurationWanted(
                Fields.service(frame.getService()), Fields.notNegative(frame.getKnownVersion(), "known version"));
    }

    static ConfigurationDocumentFrame encode(ConfigurationDocument document) {
        return ConfigurationDocumentFrame.newBuilder()
                .setService(document.service().value())
                .setVersion(document.version())
                .setText(BodyCodec.encode(document.text().getBytes(StandardCharsets.UTF_8)))
                .build();
    }

    static ConfigurationDocument decode(ConfigurationDocumentFrame frame) throws ProtocolFault {
        byte[] text = BodyCodec.decode(frame.hasText(), frame.getText());
        return new ConfigurationDocument(
                Fields.service(frame.getService()),
                Fields.notNegative(frame.getVersion(), "version"),
                Fields.utf8(text, "text"));
    }

    static ConfigurationChangeFrame encode(ConfigurationChange change) {
        ConfigurationChangeFrame.Builder frame = ConfigurationChangeFrame.newBuilder()
                .setService(change.service().value())
                .setBaseVersion(change.baseVersion())
                .setVersion(change.version())
                .setChecksum(change.checksum());
        change.edits().forEach(edit -> frame.addEdits(encode(edit)));
        return frame.build();
    }

    private static LineEditFrame encode(LineEdit edit) {
        return LineEditFrame.newBuilder()
                .setFromLine(edit.fromLine())
                .setRemovedLines(edit.removedLines())
                .addAllAddedLines(edit.addedLines())
                .build();
    }

    static ConfigurationChange decode(ConfigurationChangeFrame frame) throws ProtocolFault {
        List<LineEdit> edits = new ArrayList<>(frame.getEditsCount());
        for (LineEditFrame edit : frame.getEditsList()) {
            edits.add(decode(edit));
        }
        return new ConfigurationChange(
                Fields.service(frame.getService()),
                Fields.notNegative(frame.getBaseVersion(), "base version"),
                Fields.notNegative(frame.getVersion(), "version"),
                edits,
                frame.getChecksum());
    }

    private static LineEdit decode(LineEditFrame frame) throws ProtocolFault {
        return new LineEdit(
                Fields.notNegative(frame.getFromLine(), "from line"),
                Fields.notNegative(frame.getRemovedLines(), "removed lines"),
                frame.getAddedLinesList());
    }
}
