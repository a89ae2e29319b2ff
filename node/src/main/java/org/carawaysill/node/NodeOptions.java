package org.carawaysill.node;

import java.io.File;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** The command line of the node. Set once by its parser, read only after that; not thread safe. */
final class NodeOptions {

    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "the node's settings, a TOML file")
    private File settings = new File("node.toml");

    Path settings() {
        return settings.toPath();
    }
}
