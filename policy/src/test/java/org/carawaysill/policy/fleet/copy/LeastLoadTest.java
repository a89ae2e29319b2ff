package org.carawaysill.policy.fleet.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.fleet.placing.Placing;
import org.carawaysill.policy.message.PeerMessage.CopyPace;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/** The choice by load, compared with a plain statement of it that computes every term for each copy. */
class LeastLoadTest {

    private static final NodeName SELF = new NodeName("10.0.0.0");
    private static final AvailabilityZone ZONE = new AvailabilityZone("zone-0");
    private static final List<Mechanism> SWITCHES =
            List.of(Mechanism.COPY_SPEED, Mechanism.NEARNESS, Mechanism.SUCCESS_WEIGHT, Mechanism.COLD_FACTOR);

    @Property(tries = 500, seed = "20261204")
    void isTheSameWithTheSameDraws(@ForAll Random random) {
        Set<Mechanism> disabled = EnumSet.noneOf(Mechanism.class);
        SWITCHES.stream().filter(_ -> random.nextInt(5) == 0).forEach(disabled::add);
        List<Copy> copies = new ArrayList<>();
        int count = random.nextInt(8);
        for (int i = 0; i < count; i++) {
            copies.add(copy(random, i));
        }
        long seed = random.nextLong();
        Plain plain = new Plain(disabled, new SplittableRandom(seed));
        CopyChoice choice = new CopyChoice(SELF, ZONE, disabled, new SplittableRandom(seed));
        for (int step = 0; step < 10; step++) {
            long now = step * Duration.ofMillis(300).toNanos();
            Set<CopyName> tried = new HashSet<>();
            Set<NodeName> reachable = new HashSet<>();
            for (Copy copy : copies) {
                change(random, now, copy);
                if (random.nextInt(5) == 0) {
                    tried.add(copy.record().copy());
                }
                if (random.nextInt(5) > 0) {
                    reachable.add(copy.node());
                }
            }
            boolean sentBack = random.nextBoolean();
            double bytes = random.nextInt(5000);
            assertEquals(
                    plain.choose(now, copies, tried, sentBack, bytes, reachable::contains),
                    choice.choose(
                            now, Placing.LeastLoad.INSTANCE, copies, tried, sentBack, bytes, reachable::contains));
        }
    }

    private static Copy copy(Random random, int number) {
        return new Copy(
                new CopyRecord(
                        new CopyName("copy-" + number),
                        0,
                        0,
                        new ServiceName("deep"),
                        new NetworkAddress("10.0.0." + number, 80),
                        new AvailabilityZone("zone-" + random.nextInt(3)),
                        1 + random.nextInt(20),
                        false,
                        Duration.ofMillis(random.nextInt(2000))),
                0,
                new Revision(0, number));
    }

    private static void change(Random random, long now, Copy copy) {
        if (random.nextBoolean()) {
            Optional<CopyPace> pace = random.nextInt(4) == 0
                    ? Optional.of(new CopyPace(10 * random.nextFloat(), 10 * random.nextFloat(), 5))
                    : Optional.empty();
            LoadReport load = new LoadReport(
                    random.nextInt(20), 1 + random.nextInt(20), random.nextInt(5), 0, pace, random.nextBoolean(), 0.1f);
            if (random.nextBoolean()) {
                copy.receiveLoad(now, load);
            } else {
                copy.receiveRelayedLoad(now, load);
            }
        }
        if (random.nextBoolean()) {
            copy.receiveWorkSeconds(random.nextInt(3) == 0 ? 0 : random.nextDouble());
        }
        for (int i = random.nextInt(3); i > 0; i--) {
            copy.sent();
        }
        if (random.nextInt(3) == 0) {
            copy.ended(now, random.nextBoolean());
        }
    }

    /** The plain statement. */
    private record Plain(Set<Mechanism> disabled, RandomGenerator draws) {

        Optional<Copy> choose(
                long now,
                List<Copy> copies,
                Set<CopyName> tried,
                boolean sentBack,
                double bytes,
                Predicate<NodeName> isReachable) {
            double loads = 0;
            double works = 0;
            int withWork = 0;
            double bestSuccess = 0;
            for (Copy copy : copies) {
                loads += Math.min(1, copy.expectedLoad(now, disabled));
                bestSuccess = Math.max(bestSuccess, copy.success(now));
                if (copy.workSeconds() > 0) {
                    works += copy.workSeconds();
                    withWork++;
                }
            }
            double idlePart = copies.isEmpty() ? 0 : 1 - loads / copies.size();
            double usualWork = withWork == 0 ? 0 : works / withWork;
            Copy best = null;
            double bestCost = Double.MAX_VALUE;
            for (Copy copy : copies) {
                if (tried.contains(copy.record().copy()) || !isReachable.test(copy.node())) {
                    continue;
                }
                boolean isSpeedUnknown =
                        disabled.contains(Mechanism.COPY_SPEED) || copy.workSeconds() == 0 || usualWork == 0;
                double slowness = isSpeedUnknown ? 1.5 : 1.5 * Math.min(3, copy.workSeconds() / usualWork);
                double failures = disabled.contains(Mechanism.SUCCESS_WEIGHT)
                        ? 0
                        : 4 * Math.max(0, bestSuccess - copy.success(now));
                double gain = 0;
                if (!disabled.contains(Mechanism.NEARNESS)
                        && copy.record().zone().equals(ZONE)) {
                    gain = (copy.node().equals(SELF) ? 0.25 : 0.2) + idlePart * 0.5 * (1 + bytes / 1000);
                }
                double cost = copy.expectedLoad(now, disabled)
                        + 0.02 * draws.nextDouble()
                        + idlePart * slowness
                        + failures
                        + (sentBack && copy.isPaced() ? 1 : 0)
                        - gain;
                if (cost < bestCost) {
                    best = copy;
                    bestCost = cost;
                }
            }
            return Optional.ofNullable(best);
        }
    }
}
