package org.carawaysill.node.lifecycle;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Makes a Vert.x instance that fits a small process: one event loop, no files, small buffers. Thread safe. */
public final class EventLoopFactory {

    /**
     * Limits of the libraries for which there is no other way than system properties. What the command line sets goes
     * before these.
     */
    private static final Map<String, String> LIBRARY_LIMITS = Map.of(
            // In place of the adaptive one: 15% less processor time of the event loops for each request (16.6 and
            // 14.2 s for 20,000 requests through two nodes on loopback, mean of two runs each).
            "io.netty.allocator.type", "pooled",
            "io.netty.allocator.numDirectArenas", "1",
            "io.netty.allocator.numHeapArenas", "1",
            "io.netty.allocator.maxOrder", "3",
            // Else Netty looks through all network interfaces for an address to name its channels by.
            "io.netty.machineId", "00:00:00:00:00:00:00:01",
            // Else Vert.x looks for logging libraries that are not shipped, and reads a class from a file for each.
            "vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.JULLogDelegateFactory",
            "vertx.disableDnsResolver", "true",
            "vertx.disableMetrics", "true",
            "vertx.disableWebsockets", "true");

    private static final long NEVER_CHECK_HOURS = 24;

    private EventLoopFactory() {}

    /** Sets the limits, as {@link #create} does; for a process that uses Netty without Vert.x. */
    public static void limitLibraries() {
        LIBRARY_LIMITS.forEach((name, value) -> {
            if (System.getProperty(name) == null) {
                System.setProperty(name, value);
            }
        });
        // Else Netty looks for such libraries too.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /**
     * Makes an instance. Must come before any other use of Vert.x or Netty, since they read the limits once.
     *
     * @return the instance, with one event loop
     */
    public static Vertx create() {
        limitLibraries();
        FileSystemOptions noFiles =
                new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false);
        return Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(noFiles)
                .setBlockedThreadCheckInterval(NEVER_CHECK_HOURS)
                .setBlockedThreadCheckIntervalUnit(TimeUnit.HOURS));
    }
}
