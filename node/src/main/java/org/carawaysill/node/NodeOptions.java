package org.carawaysill.node;

import java.io.File;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** The command line options of the node. Not thread safe: set once by the parser, read only after that. */
final class NodeOptions {

    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "the node's settings, a TOML file")
    private File settings = new File("node.toml");

    Path settings() {
        return settings.toPath();
    }
}
