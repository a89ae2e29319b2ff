package org.carawaysill.kernel.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServiceRegistryTest {

    private final ServiceRegistry registry = new ServiceRegistry();

    private final List<String> events = new ArrayList<>();

    private record RecordingService(String name, List<String> events, CompletableFuture<Void> started)
            implements Service {

        @Override
        public CompletableFuture<Void> start() {
            events.add("start " + name);
            return started;
        }

        @Override
        public CompletableFuture<Void> stop() {
            events.add("stop " + name);
            return CompletableFuture.completedFuture(null);
        }
    }

    private RecordingService register(String name, CompletableFuture<Void> started) {
        return registry.register(new RecordingService(name, events, started));
    }

    private RecordingService register(String name) {
        return register(name, CompletableFuture.completedFuture(null));
    }

    @Nested
    class Finding {

        @Test
        void findsByNameAndType() {
            RecordingService counters = register("counters");
            assertEquals(Optional.of(counters), registry.find("counters", RecordingService.class));
            assertTrue(registry.find("counters", Runnable.class).isEmpty());
            assertThrows(IllegalStateException.class, () -> registry.require("admin", Service.class));
        }

        @Test
        void refusesASecondServiceOfTheSameName() {
            register("counters");
            assertThrows(IllegalArgumentException.class, () -> register("counters"));
        }
    }

    @Nested
    class Order {

        @Test
        void startsInOrderAndStopsInReverse() {
            register("first");
            register("second");
            registry.start().join();
            registry.stop().join();
            assertEquals(List.of("start first", "start second", "stop second", "stop first"), events);
        }

        @Test
        void waitsForOneServiceBeforeItStartsTheNext() {
            CompletableFuture<Void> slow = new CompletableFuture<>();
            register("first", slow);
            register("second");
            registry.start();
            assertEquals(List.of("start first"), events);
            slow.complete(null);
            assertEquals(List.of("start first", "start second"), events);
        }

        @Test
        void stopsWhatItStartedWhenALaterServiceFails() {
            register("first");
            register("second", CompletableFuture.failedFuture(new IllegalStateException("port in use")));
            register("third");
            CompletionException failure = assertThrows(
                    CompletionException.class, () -> registry.start().join());
            assertEquals("port in use", failure.getCause().getMessage());
            assertEquals(List.of("start first", "start second", "stop first"), events);
        }
    }
}
