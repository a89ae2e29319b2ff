package org.carawaysill.policy.routing;

import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Priority;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/** One caller's strategy for choosing among copies. */
abstract class Balancer {

    /** The compared strategies. */
    enum Kind {
        RANDOM,
        ROUND_ROBIN,
        LEAST_OUTSTANDING,
        TWO_CHOICES_OWN_VIEW,
        SELECTOR_WITHOUT_ZONES,
        SELECTOR,
        SELECTOR_SUBSET
    }

    abstract int choose(long now);

    void sent(long now, int copy) {}

    void answered(long now, int copy, LoadReport load, long latencyNanos) {}

    void loadReported(long now, int copy, LoadReport load) {}

    static Balancer of(Kind kind, int caller, VirtualCopies copies, SplittableRandom random) {
        int count = copies.count();
        return switch (kind) {
            case RANDOM ->
                new OwnView(count) {
                    @Override
                    int choose(long now) {
                        return random.nextInt(count);
                    }
                };
            case ROUND_ROBIN ->
                new OwnView(count) {
                    private int next = random.nextInt(count);

                    @Override
                    int choose(long now) {
                        next = (next + 1) % count;
                        return next;
                    }
                };
            case LEAST_OUTSTANDING ->
                new OwnView(count) {
                    @Override
                    int choose(long now) {
                        int start = random.nextInt(count);
                        int best = start;
                        for (int i = 1; i < count; i++) {
                            best = fewer(best, (start + i) % count);
                        }
                        return best;
                    }
                };
            case TWO_CHOICES_OWN_VIEW ->
                new OwnView(count) {
                    @Override
                    int choose(long now) {
                        return fewer(random.nextInt(count), random.nextInt(count));
                    }
                };
            case SELECTOR_WITHOUT_ZONES ->
                new Selector(
                        caller,
                        copies,
                        random,
                        RoutingSettings.builder()
                                .copies(count, 2)
                                .zoneCost(Duration.ZERO)
                                .build());
            case SELECTOR ->
                new Selector(
                        caller,
                        copies,
                        random,
                        RoutingSettings.builder().copies(count, 2).build());
            case SELECTOR_SUBSET -> new Selector(caller, copies, random, RoutingSettings.DEFAULT);
        };
    }

    /** Uses only the caller's own outstanding requests. */
    private abstract static class OwnView extends Balancer {

        private final int[] outstanding;

        OwnView(int count) {
            outstanding = new int[count];
        }

        int fewer(int one, int other) {
            return outstanding[one] <= outstanding[other] ? one : other;
        }

        @Override
        void sent(long now, int copy) {
            outstanding[copy]++;
        }

        @Override
        void answered(long now, int copy, LoadReport load, long latencyNanos) {
            outstanding[copy]--;
        }
    }

    /** The selector under test. */
    private static final class Selector extends Balancer {

        private static final ServiceName SERVICE = new ServiceName("manifests");
        private static final Priority PRIORITY = new Priority(0);

        private final CopySelector selector;
        private final VirtualCopies copies;

        Selector(int caller, VirtualCopies copies, SplittableRandom random, RoutingSettings settings) {
            this.copies = copies;
            this.selector = new CopySelector(
                    new NodeName("caller-" + caller), VirtualCopies.zone(caller), random.split(), settings);
            selector.updateRoster(0, copies.roster(SERVICE));
            for (int i = 0; i < copies.count(); i++) {
                selector.setUsable(0, VirtualCopies.name(i), copies.isUsable(i, 0));
            }
        }

        @Override
        int choose(long now) {
            for (int i = 0; i < copies.count(); i++) {
                selector.setUsable(now, VirtualCopies.name(i), copies.isUsable(i, now));
            }
            return VirtualCopies.index(
                    selector.choose(now, SERVICE, Set.of(), PRIORITY).orElseThrow());
        }

        @Override
        void sent(long now, int copy) {
            selector.sent(now, VirtualCopies.name(copy));
        }

        @Override
        void answered(long now, int copy, LoadReport load, long latencyNanos) {
            selector.answered(now, VirtualCopies.name(copy), load, latencyNanos);
        }

        @Override
        void loadReported(long now, int copy, LoadReport load) {
            selector.loadReported(now, VirtualCopies.name(copy), load);
        }
    }
}
