package org.carawaysill.load.command;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.concurrent.ExecutionException;
import java.util.function.Function;
import org.carawaysill.load.platform.BenchException;

/** Runs a task on one event loop and waits for it. Stateless and thread safe. */
final class EventLoop {

    private EventLoop() {}

    /**
     * Runs a task.
     *
     * @param task the task to run on the event loop
     * @param <T> the type of its result
     * @return its result
     * @throws BenchException if the bench did not do what the task needs
     */
    static <T> T run(Function<Vertx, Future<T>> task) throws BenchException {
        Vertx vertx = oneEventLoop();
        try {
            Promise<T> result = Promise.promise();
            vertx.runOnContext(ignored -> task.apply(vertx).onComplete(result));
            return result.future().toCompletionStage().toCompletableFuture().get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof BenchException failure) {
                throw failure;
            }
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } finally {
            vertx.close();
        }
    }

    /**
     * Runs a blocking task on the calling thread, with an event loop that it can use.
     *
     * @param task the task to run
     * @param <T> the type of its result
     * @return its result
     * @throws BenchException if the bench did not do what the task needs
     */
    static <T> T beside(BlockingTask<T> task) throws BenchException {
        Vertx vertx = oneEventLoop();
        try {
            return task.run(vertx);
        } finally {
            vertx.close();
        }
    }

    /**
     * A task that blocks until the event loop has completed its calls.
     *
     * @param <T> the type of its result
     */
    interface BlockingTask<T> {

        /**
         * Runs the task.
         *
         * @param vertx the event loop
         * @return its result
         * @throws BenchException if the bench did not do what the task needs
         */
        T run(Vertx vertx) throws BenchException;
    }

    private static Vertx oneEventLoop() {
        FileSystemOptions files =
                new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false);
        return Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setFileSystemOptions(files));
    }
}
